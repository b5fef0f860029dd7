package org.mangorack.bench.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.mangorack.bench.plot.BarChart;

/**
 * Writes the figures of policies side by side.
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
	 * Returns the table.
	 * @return a table in Markdown with a row for each policy
	 */
	String table() {
		StringBuilder table = new StringBuilder(HEAD);
		this.figures.forEach((f) -> table.append(row(f)));
		return table.toString();
	}

	/**
	 * Writes {@code experiment.md} and {@code experiment.svg}, over files of these names.
	 * @param folder the folder, which is created if it is missing
	 * @throws IOException if they cannot be written
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
