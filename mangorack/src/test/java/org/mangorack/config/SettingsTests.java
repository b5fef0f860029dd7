package org.mangorack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsTests {

	@TempDir
	Path folder;

	@BeforeEach
	void writeSecrets() throws IOException {
		Files.writeString(this.folder.resolve("operator.key"), "a secret of some length");
		Files.writeString(this.folder.resolve("peer.secret"), "a secret of some length");
	}

	@Test
	void missingFieldsGetDefaults() throws IOException {
		Settings settings = read(valid()).get();
		assertThat(settings.lease().duration()).isEqualTo(Duration.ofSeconds(3));
		assertThat(settings.advertise()).isEqualTo(settings.listen());
		assertThat(settings.dataFolder()).isNull();
	}

	@Test
	void allProblemsAreReportedTogether() throws IOException {
		String invalid = valid().replace("\"dc1\"", "\"d c\"")
			.replace("127.0.0.1:7001", "nowhere")
			.replace("\"operator.key\"", "\"missing.key\"")
			.replace("}\n}", "},\n\"lease\":{\"durationMillis\":1,\"renewals\":2}}");
		List<Problem> problems = read(invalid).getLeft();
		assertThat(problems).extracting(Problem::path)
			.contains("$.dataCentre", "$.listen.callers", "$.operatorKeyFile", "$.lease.durationMillis",
					"$.lease.renewals");
		assertThat(problems).allMatch((p) -> p.toString().startsWith(this.folder.resolve("s.json").toString()));
		assertThat(problems.toString()).contains("\"d c\"", "\"nowhere\"", "is an unknown field");
	}

	@Test
	void malformedFileIsReportedWithTheLine() throws IOException {
		assertThat(read("{\n  \"instance\": }").getLeft().get(0).toString()).contains("line 2");
	}

	@Test
	void duplicateFieldIsRejected() throws IOException {
		assertThat(read("{\"instance\":\"a\",\"instance\":\"b\"}").getLeft().get(0).toString()).contains("Duplicate");
	}

	private Either<List<Problem>, Settings> read(String text) throws IOException {
		Path file = this.folder.resolve("s.json");
		Files.writeString(file, text);
		return Settings.read(file);
	}

	private static String valid() {
		return """
				{
				"instance": "i1",
				"dataCentre": "dc1",
				"listen": {"callers": "127.0.0.1:7001", "operators": "127.0.0.1:7002", "peers": "127.0.0.1:7003"},
				"operatorKeyFile": "operator.key",
				"peerSecretFile": "peer.secret",
				"platform": {"address": "127.0.0.1:7000"
				}
				}""";
	}

}
