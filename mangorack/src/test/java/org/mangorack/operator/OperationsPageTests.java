package org.mangorack.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the examples in {@code docs/OPERATIONS.md} and compares their output.
 */
class OperationsPageTests {

	private static final String LOGS = "docs/examples/";

	private static final Pattern EXAMPLE = Pattern.compile("```\\n\\$ mangorack ([^\\n]*)\\n(.*?)```", Pattern.DOTALL);

	@ParameterizedTest
	@MethodSource("examples")
	void anExamplePrintsWhatThePageShows(Example example) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		int status = Main.run(example.line().replace(LOGS, "../" + LOGS).split(" "),
				new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
		assertThat(err.toString(StandardCharsets.UTF_8)).isEmpty();
		assertThat(status).isEqualTo(ExitStatus.SUCCESS);
		assertThat(out.toString(StandardCharsets.UTF_8).replace("../" + LOGS, LOGS)).isEqualTo(example.output());
	}

	@Test
	void eachWayInWhichARequestFailsHasAnExample() throws IOException {
		assertThat(examples()).hasSizeGreaterThanOrEqualTo(3);
	}

	static List<Example> examples() throws IOException {
		return EXAMPLE.matcher(Files.readString(Path.of("../docs/OPERATIONS.md")))
			.results()
			.map((m) -> new Example(m.group(1), m.group(2)))
			.toList();
	}

	/**
	 * An example command on the page.
	 *
	 * @param line the arguments
	 * @param output the expected output
	 */
	record Example(String line, String output) {

		@Override
		public String toString() {
			return this.line;
		}

	}

}
