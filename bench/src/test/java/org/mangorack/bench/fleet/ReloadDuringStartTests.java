package org.mangorack.bench.fleet;

import java.io.FileOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.operator.ExitStatus;
import org.mangorack.wire.PlatformMain;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a request to reload the settings does not end a process that is still
 * starting.
 */
class ReloadDuringStartTests {

	// Long enough for a process to end by a signal.
	private static final Duration SIGNAL_DELAY = Duration.ofSeconds(3);

	private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(60);

	@TempDir
	Path folder;

	// Guards against processes that end by themselves when settings change as they start.
	@ParameterizedTest
	@ValueSource(strings = { "entry", "keeper" })
	void aProcessThatReadsItsSettingsSurvivesAReload(String role) throws Exception {
		Path settings = this.folder.resolve("settings.json");
		run("mkfifo", settings.toString());
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), PlatformMain.class.getName(), role, "--settings",
				settings.toString())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.DISCARD)
			.start();
		// Opening the pipe waits until the process opens it to read its settings.
		try (OutputStream pipe = new FileOutputStream(settings.toFile())) {
			run("kill", "-HUP", Long.toString(process.pid()));
			assertThat(process.waitFor(SIGNAL_DELAY.toMillis(), TimeUnit.MILLISECONDS)).as("process ended").isFalse();
			pipe.write("no settings".getBytes(StandardCharsets.UTF_8));
		}
		finally {
			boolean ended = process.waitFor(EXIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
			process.destroyForcibly();
			assertThat(ended).isTrue();
		}
		assertThat(process.exitValue()).isEqualTo(ExitStatus.FAILED);
	}

	private static void run(String... command) throws Exception {
		assertThat(new ProcessBuilder(command).start().waitFor()).isZero();
	}

}
