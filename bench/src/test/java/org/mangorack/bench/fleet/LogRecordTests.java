package org.mangorack.bench.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.bench.FreePorts;
import org.mangorack.bench.standin.FleetStoreStandIn;
import org.mangorack.bench.standin.PlatformStandIn;
import org.mangorack.wire.PlatformMain;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the instance and role in the log records of real processes.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LogRecordTests {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String HOST = "127.0.0.1";

	/**
	 * Number of records of the product after which reading stops. Records of libraries
	 * that precede them are read as well.
	 */
	private static final int RECORD_COUNT = 2;

	@TempDir
	Path folder;

	/**
	 * At debug level libraries log too, also before the settings are read.
	 */
	@ParameterizedTest
	@CsvSource({ "entry, entry-7", "keeper, keeper-7" })
	void everyRecordNamesTheRoleAndFromTheSettingsOnTheInstance(String role, String instance) throws Exception {
		List<JsonNode> records;
		try (FleetStoreStandIn store = new FleetStoreStandIn(0)) {
			store.start();
			records = recordsOf(role, "--settings", settings(role, instance, store.address()).toString());
		}
		assertOrigin(records, role, instance);
	}

	@Test
	void recordsOfAnInstanceOfTheProductsOwnInterfaceNameIt() throws Exception {
		Files.writeString(this.folder.resolve("secret"), "0123456789abcdef0123456789abcdef");
		List<JsonNode> records;
		try (PlatformStandIn platform = new PlatformStandIn(0)) {
			platform.start();
			Path settings = Files.writeString(this.folder.resolve("settings.json"),
					"{\"instance\":\"instance-7\",\"dataCentre\":\"dc\",\"listen\":{\"callers\":\"" + freeAddress()
							+ "\",\"operators\":\"" + freeAddress() + "\",\"peers\":\"" + freeAddress()
							+ "\"},\"platform\":{\"address\":\"" + platform.address()
							+ "\"},\"operatorKeyFile\":\"secret\",\"peerSecretFile\":\"secret\"}");
			records = recordsOf("serve", "--settings", settings.toString());
		}
		assertOrigin(records, "instance", "instance-7");
	}

	private static void assertOrigin(List<JsonNode> records, String role, String instance) {
		assertThat(records).allMatch((r) -> r.path("role").asText().equals(role));
		assertThat(records).as("records of the product")
			.filteredOn((r) -> r.path("event").isObject())
			.hasSize(RECORD_COUNT)
			.allMatch((r) -> r.path("instance").asText().equals(instance));
		List<JsonNode> libraries = records.stream().filter((r) -> r.path("event").isTextual()).toList();
		assertThat(libraries).anyMatch((r) -> r.path("instance").asText().equals(instance));
		assertThat(libraries).filteredOn((r) -> r.has("instance"))
			.allMatch((r) -> r.path("instance").asText().equals(instance));
	}

	// ---- The process

	private Path settings(String role, String instance, String store) throws IOException {
		String common = "{\"instance\":\"" + instance + "\",\"dataCentre\":\"dc\",\"platform\":\"" + store
				+ "\",\"tolerance\":0,";
		String own = role.equals("keeper")
				? "\"listen\":\"" + freeAddress() + "\",\"dataFolder\":\"" + this.folder + "\",\"firstStart\":true}"
				: "\"callers\":\"" + freeAddress() + "\",\"readiness\":\"" + freeAddress() + "\",\"directory\":\""
						+ freeAddress() + "\",\"seeds\":[\"" + freeAddress()
						+ "\"],\"revocationMillis\":4000,\"configurationApplyMillis\":2000,\"graceSeconds\":8}";
		return Files.writeString(this.folder.resolve("settings.json"), common + own);
	}

	private static List<JsonNode> recordsOf(String... arguments) throws Exception {
		List<String> command = new ArrayList<>(List.of("java", "-Xmx160m", "-XX:+UseSerialGC",
				"-Dmangorack.log.level=debug", "-Dmangorack.log.target=SYSTEM_OUT", "-cp",
				System.getProperty("java.class.path"), PlatformMain.class.getName()));
		command.addAll(List.of(arguments));
		Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
		try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
			List<JsonNode> records = new ArrayList<>();
			int own = 0;
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				JsonNode record = MAPPER.readTree(line);
				records.add(record);
				own += record.path("event").isObject() ? 1 : 0;
				if (own == RECORD_COUNT) {
					break;
				}
			}
			return records;
		}
		finally {
			process.destroyForcibly().waitFor();
		}
	}

	private static String freeAddress() throws IOException {
		return HOST + ":" + FreePorts.next(HOST);
	}

}
