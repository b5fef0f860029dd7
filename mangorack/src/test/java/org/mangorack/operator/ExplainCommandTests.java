package org.mangorack.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the command {@code explain}.
 */
class ExplainCommandTests {

	private static final String KEEPER_LOST = """
			{"time":"2026-12-04T01:00:01.500Z","level":"WARN","event":{"event":"2002","message":"keeper lost","keeper":"k1"}}
			""";

	private static final String REFUSED = """
			{"time":"2026-12-04T01:00:02.000Z","level":"INFO","event":{"event":"2102","message":"request turned away","request":"r1","code":"keepers_away"}}
			""";

	private static final String OTHER = """
			{"time":"2026-12-04T01:00:02.100Z","level":"INFO","event":{"event":"2101","message":"request served","request":"r2"}}
			""";

	@TempDir
	Path folder;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@Test
	void outputHoldsRecordsOfTheRequestAndPrecedingStateEvents() throws IOException {
		String first = file("entry-1.log", KEEPER_LOST + REFUSED + OTHER);
		assertThat(explain("r1", first)).isZero();
		assertThat(this.out.toString(StandardCharsets.UTF_8).lines()).hasSize(2)
			.anyMatch((l) -> l.contains("keeper lost") && l.contains("keeper=k1"))
			.anyMatch((l) -> l.contains("code=keepers_away") && l.contains("entry-1.log"));
	}

	@Test
	void recordsOfSeveralInstancesAreInTheOrderOfTime() throws IOException {
		String later = file("entry-1.log", REFUSED);
		String earlier = file("entry-2.log", REFUSED.replace("01:00:02", "01:00:01").replace("2102", "2111"));
		assertThat(explain("r1", later, earlier)).isZero();
		assertThat(this.out.toString(StandardCharsets.UTF_8).lines().findFirst().orElseThrow()).contains("[2111");
	}

	@Test
	void linesThatAreNoRecordsAreCounted() throws IOException {
		assertThat(explain("r1", file("entry-1.log", "oops\n" + REFUSED + "{broken\n"))).isZero();
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("2 of 3 lines are no log records");
	}

	@Test
	void aFileWithoutRecordsIsRefused() throws IOException {
		assertThat(explain("r1", file("wrong.txt", "one\ntwo\n"))).isEqualTo(1);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("none of its 2 lines is a log record");
	}

	@Test
	void aMissingFileIsNamed() {
		assertThat(explain("r1", "missing.log")).isEqualTo(1);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("missing.log: cannot be read");
	}

	@Test
	void anUnknownRequestIsReported() throws IOException {
		assertThat(explain("r9", file("entry-1.log", REFUSED))).isEqualTo(1);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("no record names request \"r9\"");
	}

	@Test
	void eachLineNamesItsInstanceAndRoleAndTheRequestsOwnAreMarked() throws IOException {
		String joined = from("entry-1", "entry", KEEPER_LOST) + from("entry-1", "entry", REFUSED)
				+ from("keeper-1", "keeper", REFUSED.replace("2102", "2111"));
		assertThat(explain("r1", file("all.log", joined))).isZero();
		assertThat(lines()).hasSize(3)
			.satisfiesExactly((l) -> assertThat(l).matches("\\S+ +instance +entry-1 \\(entry\\) +keeper lost .*"),
					(l) -> assertThat(l).matches("\\S+ +request +entry-1 \\(entry\\) +request turned away .*"),
					(l) -> assertThat(l).matches("\\S+ +request +keeper-1 \\(keeper\\) +request turned away .*"));
	}

	/**
	 * The logs are in one file, so that instances cannot be distinguished by file name.
	 */
	@Test
	void eventsOfInstancesThatTheRequestDidNotReachAreLeftOut() throws IOException {
		String joined = from("entry-1", "entry", REFUSED) + from("entry-2", "entry", KEEPER_LOST);
		assertThat(explain("r1", file("all.log", joined))).isZero();
		assertThat(lines()).singleElement().asString().contains("entry-1 (entry)");
	}

	@Test
	void eventsOfAnInstanceAreFoundInItsOtherFiles() throws IOException {
		String former = file("former.log", from("entry-1", "entry", KEEPER_LOST));
		assertThat(explain("r1", former, file("now.log", from("entry-1", "entry", REFUSED)))).isZero();
		assertThat(lines()).hasSize(2).first().asString().contains("keeper lost").contains("former.log");
	}

	@ParameterizedTest
	@CsvSource({ "1001, instance started", "1501, configuration in force", "2011, group view adopted" })
	void latestPersistentStateIsShownRegardlessOfItsAge(String event, String message) throws IOException {
		String former = around("00:00:01.000", event, message + " formerly");
		String last = around("00:30:00.000", event, message);
		assertThat(explain("r1", file("entry-1.log", former + last + REFUSED))).isZero();
		assertThat(lines()).hasSize(2)
			.first()
			.asString()
			.startsWith("2026-12-04T00:30:00.000Z  instance")
			.contains(message)
			.doesNotContain("formerly");
	}

	@ParameterizedTest
	@CsvSource({ "00:59:58.900, 0", "00:59:59.100, 1", "01:00:02.900, 1", "01:00:03.100, 0" })
	void eventsAreShownFromThreeSecondsBeforeToOneSecondAfter(String time, int shown) throws IOException {
		assertThat(explain("r1", file("entry-1.log", REFUSED + around(time, "2002", "keeper lost")))).isZero();
		assertThat(lines()).hasSize(1 + shown);
	}

	@Test
	void aRecordWithoutAnInstanceIsMarked() throws IOException {
		assertThat(explain("r1", file("entry-1.log", REFUSED))).isZero();
		assertThat(lines()).singleElement().asString().contains("  request   -  request turned away");
	}

	@Test
	void theHelpDescribesBothKindsOfLines() {
		assertThat(explain("--help")).isZero();
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("marked \"request\"")
			.contains("marked \"instance\"")
			.contains("mangorack explain f2cb246e29c2ba46 entry-1.log entry-2.log");
	}

	private List<String> lines() {
		return this.out.toString(StandardCharsets.UTF_8).lines().toList();
	}

	private static String from(String instance, String role, String record) {
		return record.replace("\"level\"", "\"instance\":\"" + instance + "\",\"role\":\"" + role + "\",\"level\"");
	}

	private static String around(String time, String event, String message) {
		return KEEPER_LOST.replace("01:00:01.500", time).replace("2002", event).replace("keeper lost", message);
	}

	private String file(String name, String content) throws IOException {
		return Files.writeString(this.folder.resolve(name), content).toString();
	}

	private int explain(String request, String... files) {
		String[] arguments = new String[files.length + 2];
		arguments[0] = "explain";
		arguments[1] = request;
		System.arraycopy(files, 0, arguments, 2, files.length);
		return Main.run(arguments, new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

}
