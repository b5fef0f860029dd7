package org.mangorack.bench.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.mangorack.bench.plot.BarChart;

/**
 * Writes a comparison of the measurements of several policies.
 */
final class ExperimentReport {

	private static final String HEAD = """
			| policy | programs | in aim | latency / ideal p50 | p99 | first event p50 | p99 | tokens read | again \
			| preemptions | refused | expired | failed | refused in vain | admitted in vain |
			| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
			""";

	private final List<Figures> figures;

	ExperimentReport(List<Figures> figures) {
		this.figures = List.copyOf(figures);
	}

	/**
	 * Returns the comparison as a table.
	 * @return a Markdown table with one row per policy
	 */
	String table() {
		StringBuilder table = new StringBuilder(HEAD);
		this.figures.forEach((f) -> table.append(row(f)));
		return table.toString();
	}

	/**
	 * Writes {@code experiment.md} and {@code experiment.svg}, replacing existing files.
	 * @param folder the output directory, which is created if missing
	 * @throws IOException if a file cannot be written
	 */
	void write(Path folder) throws IOException {
		Files.createDirectories(folder);
		Files.writeString(folder.resolve("experiment.md"), table());
		BarChart chart = new BarChart("Latency of programs", "multiple of the time on idle upstreams");
		for (Figures f : this.figures) {
			chart.add(f.policy().label(), "p50", f.latencyAt(50));
			chart.add(f.policy().label(), "p99", f.latencyAt(99));
		}
		chart.write(folder.resolve("experiment.svg"));
	}

	private static String row(Figures f) {
		return String.format(Locale.ROOT,
				"| %s | %d | %.1f%% | %.2f | %.2f | %.0f ms | %.0f ms | %d | %d | %d | %d | %d | %d | %d | %d |%n",
				f.policy().label(), f.programs(), 100 * f.shareInAim(), f.latencyAt(50), f.latencyAt(99),
				f.firstEventMillisAt(50), f.firstEventMillisAt(99), f.tokensRead(), f.tokensReadAgain(),
				f.preemptions(), f.calls(CallOutcome.FULL), f.calls(CallOutcome.EXPIRED), f.calls(CallOutcome.FAILED),
				f.refusedInVain(), f.admittedInVain());
	}

}
