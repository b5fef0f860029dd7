package org.mangorack.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class MainTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	Path folder;

	@ParameterizedTest
	@ValueSource(strings = { "", "fly", "serve", "config", "config apply", "status", "key create",
			"status --instance 127.0.0.1", "status --instance 127.0.0.1:1 --format xml" })
	void badUsageEndsWithTwo(String line) {
		assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(ExitStatus.USAGE);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).isNotBlank();
	}

	@ParameterizedTest
	@ValueSource(strings = { "--help", "serve --help", "config --help", "config apply --help", "key --help",
			"key create --help", "status --help", "programs --help", "drain --help" })
	void helpEndsWithZero(String line) {
		assertThat(run(line.split(" "))).isEqualTo(ExitStatus.DONE);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("usage: mangorack");
	}

	@Test
	void refusedConfigurationEndsWithOneAndNamesTheValue() throws IOException {
		Files.writeString(this.folder.resolve("a.json"), "{\"workspaces\":{\"w\":{\"weight\":\"x\"}}}");
		assertThat(run("config", "check", this.folder.toString())).isEqualTo(ExitStatus.FAILED);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("a.json: $.workspaces.w.weight: \"x\"");
	}

	@Test
	void refusedSettingsEndWithTwoBeforeAnyPortOpens() throws IOException {
		Path file = this.folder.resolve("s.json");
		Files.writeString(file, "{}");
		assertThat(run("serve", "--settings", file.toString())).isEqualTo(ExitStatus.USAGE);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains(file + ": $.instance: is required");
	}

	@Test
	void unreachableInstanceEndsWithOne() throws IOException {
		Path key = Files.writeString(this.folder.resolve("k"), "0123456789abcdef");
		assertThat(run("status", "--instance", "127.0.0.1:1", "--operator-key-file", key.toString()))
			.isEqualTo(ExitStatus.FAILED);
	}

	private int run(String... arguments) {
		return Main.run(arguments, new PrintStream(this.out), new PrintStream(this.err));
	}

}
