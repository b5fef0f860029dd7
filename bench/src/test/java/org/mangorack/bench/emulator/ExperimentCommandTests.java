package org.mangorack.bench.emulator;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kohsuke.args4j.CmdLineParser;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ExperimentCommand}.
 */
class ExperimentCommandTests {

	@TempDir
	Path folder;

	@Test
	void theReportIsTheSameForTheSameSeed() throws Exception {
		assertThat(run("--policy", "least-loaded", "--policy", "random", "--seed", "3", "--out", folder("a"))).isZero();
		assertThat(run("--policy", "least-loaded", "--policy", "random", "--seed", "3", "--out", folder("b"))).isZero();
		for (String file : new String[] { "experiment.md", "experiment.svg" }) {
			assertThat(this.folder.resolve("a").resolve(file)).isNotEmptyFile()
				.hasSameTextualContentAs(this.folder.resolve("b").resolve(file));
		}
	}

	@ParameterizedTest
	@CsvSource({ "--load, none", "--policy, none" })
	void whatIsUnknownIsRefused(String option, String value) throws Exception {
		assertThat(run(option, value, "--out", folder("a"))).isEqualTo(2);
		assertThat(this.folder.resolve("a")).doesNotExist();
	}

	private String folder(String name) {
		return this.folder.resolve(name).toString();
	}

	private static int run(String... arguments) throws Exception {
		ExperimentCommand command = new ExperimentCommand();
		new CmdLineParser(command).parseArgument(arguments);
		return command.run();
	}

}
