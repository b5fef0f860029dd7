package org.mangorack.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.fuzz.Mutations;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Feeds corrupted files to {@link Settings} and {@link ConfigurationFolder}.
 */
class SettingsFuzzTests {

	private static final String SETTINGS = """
			{"instance": "i1", "dataCentre": "dc1", "operatorKeyFile": "key", "peerSecretFile": "key",
			"listen": {"callers": "127.0.0.1:7001", "operators": "127.0.0.1:7002", "peers": "127.0.0.1:7003"},
			"peerTls": {"certificateFile": "c", "keyFile": "k", "trustFile": "t"}, "dataFolder": "data",
			"limits": {"maxBodyBytes": 4096}, "platform": {"address": "127.0.0.1:7000", "timeoutMillis": 100}}""";

	private static final String CONFIGURATION = """
			{"workspaces": {"north": {"rate": {"perSecond": 5, "burst": 10}}}, "upstreams": {"e": {"kind": "MODEL"}}}""";

	private Path temporaryFolder;

	@BeforeProperty
	void createFolder() throws IOException {
		this.temporaryFolder = Files.createTempDirectory("settings-fuzz");
		Files.writeString(this.temporaryFolder.resolve("key"), "a secret of some length");
	}

	@AfterProperty
	void deleteFolder() throws IOException {
		try (Stream<Path> files = Files.walk(this.temporaryFolder)) {
			for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
				Files.delete(file);
			}
		}
	}

	@Property(seed = "2109", tries = 1000)
	void corruptedSettingsAreReadOrRejected(@ForAll("settings") byte[] bytes) throws IOException {
		Path file = this.temporaryFolder.resolve("s.json");
		Files.write(file, bytes);
		assertThat(Settings.read(file)).isNotNull();
	}

	@Property(seed = "2110", tries = 1000)
	void corruptedConfigurationIsReadOrRejected(@ForAll("configurations") byte[] bytes) throws IOException {
		Files.write(this.temporaryFolder.resolve("c.json"), bytes);
		assertThat(ConfigurationFolder.read(this.temporaryFolder)).isNotNull();
	}

	@Test
	void tooDeeplyNestedFileIsReported(@TempDir Path folder) throws IOException {
		Path file = folder.resolve("s.json");
		Files.writeString(file, "[".repeat(20_000));
		assertThat(Settings.read(file).getLeft().toString()).contains("s.json", "is not valid JSON");
		assertThat(ConfigurationFolder.read(folder).getLeft().toString()).contains("s.json", "is not valid JSON");
	}

	@Test
	void invalidPathIsReportedForItsField(@TempDir Path folder) throws IOException {
		Files.writeString(folder.resolve("key"), "a secret of some length");
		String nul = "a" + "\\" + "u0000b";
		assertThat(problems(folder, "\"operatorKeyFile\": \"key\"", nul)).contains("$.operatorKeyFile");
		assertThat(problems(folder, "\"dataFolder\": \"data\"", nul)).contains("$.dataFolder");
		assertThat(problems(folder, "\"keyFile\": \"k\"", nul)).contains("$.peerTls.keyFile");
	}

	@Provide
	Arbitrary<byte[]> settings() {
		return Mutations.of(SETTINGS.getBytes(StandardCharsets.UTF_8));
	}

	@Provide
	Arbitrary<byte[]> configurations() {
		return Mutations.of(CONFIGURATION.getBytes(StandardCharsets.UTF_8));
	}

	// Returns the JSON paths of the problems after replacing the value of a field.
	private static List<String> problems(Path folder, String field, String value) throws IOException {
		String corrupted = SETTINGS.replace(field, field.substring(0, field.indexOf(':')) + ": \"" + value + "\"");
		Path file = folder.resolve("s.json");
		Files.writeString(file, corrupted);
		return Settings.read(file).getLeft().stream().map(Problem::path).toList();
	}

}
