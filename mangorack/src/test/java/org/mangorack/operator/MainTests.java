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
import org.junit.jupiter.params.provider.CsvSource;
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
			"key create --help", "status --help", "programs --help", "drain --help", "explain --help" })
	void helpEndsWithZero(String line) {
		assertThat(run(line.split(" "))).isEqualTo(ExitStatus.SUCCESS);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("usage: mangorack");
	}

	/**
	 * The usage line shows placeholders instead of the syntax accepted by the parser, and
	 * the help shows no default values.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '"',
			textBlock = """
					--help              | mangorack COMMAND [--help]
					config --help       | mangorack config COMMAND [--help]
					key --help          | mangorack key COMMAND [--help]
					serve --help        | mangorack serve --settings FILE [--help]
					explain --help      | mangorack explain REQUEST_ID FILE... [--help]
					status --help       | mangorack status --instance HOST:PORT [--format FORMAT] [--help] [--operator-key-file FILE]
					config check --help | mangorack config check DIR [--help]
					""")
	void helpBeginsWithTheLineOfTheCommand(String line, String usage) {
		run(line.split(" "));
		String text = this.out.toString(StandardCharsets.UTF_8);
		assertThat(text.replaceAll("\\n {8}", " ").lines().findFirst()).contains("usage: " + usage);
		assertThat(text).doesNotContain("(default: ").doesNotContain(" | ");
	}

	@ParameterizedTest
	@CsvSource({ "explain, mangorack explain REQUEST_ID FILE... [--help]", "config, mangorack config COMMAND [--help]",
			"config check, mangorack config check DIR [--help]", "fly, mangorack COMMAND [--help]",
			"serve --fly, mangorack serve --settings FILE [--help]" })
	void badUsageShowsTheLineOfTheCommand(String line, String usage) {
		run(line.split(" "));
		assertThat(this.err.toString(StandardCharsets.UTF_8).lines()).contains("usage: " + usage);
	}

	@ParameterizedTest
	@ValueSource(strings = { "--help", "serve --help", "config --help", "config check --help", "config apply --help",
			"config show --help", "key --help", "key create --help", "key withdraw --help", "status --help",
			"programs --help", "drain --help", "explain --help" })
	void helpSaysWhatTheCommandDoesAndDescribesEachOption(String line) {
		run(line.split(" "));
		String text = this.out.toString(StandardCharsets.UTF_8);
		assertThat(text).contains("example:\n  mangorack ");
		assertThat(text.split("\n\n")[1]).matches("(?s)[A-Z].*\\.");
		assertThat(text).containsPattern("\n  --help, -h +print this help\n");
		assertThat(text.lines()).allMatch((l) -> l.length() <= 100);
	}

	@Test
	void helpListsTheCommandsWithWhatTheyDo() {
		run("--help");
		assertThat(this.out.toString(StandardCharsets.UTF_8)).containsPattern("\n  serve +Runs an instance")
			.containsPattern("\n  explain +Tells the story of a request");
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
