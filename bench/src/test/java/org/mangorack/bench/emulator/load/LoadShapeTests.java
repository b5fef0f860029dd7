package org.mangorack.bench.emulator.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoadShape}.
 */
class LoadShapeTests {

	@TempDir
	Path folder;

	@ParameterizedTest
	@ValueSource(strings = { "small", "grown", "faults" })
	void samplesAreValid(String name) {
		assertThat(LoadShape.sample(name).isRight()).as("%s", LoadShape.sample(name)).isTrue();
	}

	@Test
	void thereIsNoOtherSample() {
		assertThat(LoadShape.sample("none").getLeft()).contains("none");
	}

	@Test
	void aMissingFileIsReported() {
		assertThat(LoadShape.read(this.folder.resolve("missing")).getLeft()).contains("missing");
	}

	@ParameterizedTest
	@CsvSource({ "'\"seconds\": 60', '\"seconds\": 0', seconds", "'\"slots\": 8', '\"slots\": -1', engines.slots",
			"'\"memoryTokens\": 100000', '\"memoryTokens\": 2000', programs",
			"'\"seconds\": 60', '\"seconds\": 60, \"unknown\": 1', unknown", "'\"seconds\": 60,', '', seconds",
			"'\"upstream\": 2', '\"upstream\": 6', faults", "'\"degree\": 0.3', '\"degree\": 1.3', faults.degree" })
	void whatIsWrongIsNamed(String part, String replacement, String named) throws IOException {
		String json = new String(LoadShape.class.getResourceAsStream("faults.json").readAllBytes(),
				StandardCharsets.UTF_8);
		assertThat(json).contains(part);
		Path file = Files.writeString(this.folder.resolve("load.json"), json.replace(part, replacement));
		assertThat(LoadShape.read(file).getLeft()).contains(named);
	}

}
