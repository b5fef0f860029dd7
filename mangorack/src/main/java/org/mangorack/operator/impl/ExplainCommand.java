package org.mangorack.operator.impl;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.kohsuke.args4j.Argument;

import org.mangorack.operator.Command;
import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;

/**
 * Traces a request through the logs of several instances. Prints every record that names
 * the request, and the events about keepers, upstreams, configuration and the platform
 * that the same instances logged around that time.
 */
@CommandHelp(value = "Tells the story of a request from the logs of several instances. "
		+ "Prints a line for each record, in the order of time, with the instance and role that wrote it. "
		+ "Lines marked \"request\" name the request. Lines marked \"instance\" are events of the same instances "
		+ "from 3 s before to 1 s after (keepers lost, upstreams avoided, configurations, restarts), and the last "
		+ "start, configuration and group of keepers before them. Each line ends with the number of its event and "
		+ "the file. The exit status is 1 if no record names the request.",
		examples = { "mangorack explain f2cb246e29c2ba46 entry-1.log entry-2.log",
				"mangorack explain f2cb246e29c2ba46 - < all.log" })
public final class ExplainCommand extends Command {

	/**
	 * How long before a record of the request state events are included.
	 */
	static final Duration CONTEXT_BEFORE = Duration.ofSeconds(3);

	/**
	 * How long after a record of the request state events are included.
	 */
	static final Duration CONTEXT_AFTER = Duration.ofSeconds(1);

	private static final String STANDARD_INPUT = "-";

	@Argument(index = 0, required = true, metaVar = "REQUEST_ID", usage = "id of the request")
	private String request;

	@Argument(index = 1, required = true, multiValued = true, metaVar = "FILE",
			usage = "log of one or several instances, a JSON record a line; - reads standard input")
	private List<String> files = new ArrayList<>();

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		List<LogRecord> records = new ArrayList<>();
		for (String file : this.files) {
			read(file, records, err);
		}
		List<LogRecord> trace = records.stream()
			.collect(Collectors.groupingBy(LogRecord::originKey, LinkedHashMap::new, Collectors.toList()))
			.values()
			.stream()
			.flatMap((instanceRecords) -> relevant(instanceRecords).stream())
			.sorted(Comparator.comparing(LogRecord::time))
			.toList();
		if (trace.isEmpty()) {
			throw new CommandException(ExitStatus.FAILED, "no record names request \"" + this.request
					+ "\"; served requests are sampled, and records may have been left out (event 2311)");
		}
		int width = trace.stream().mapToInt((r) -> r.origin().length()).max().getAsInt();
		trace.forEach((r) -> out.println(r.describe(this.request, width)));
		return ExitStatus.SUCCESS;
	}

	private List<LogRecord> relevant(List<LogRecord> instanceRecords) {
		List<Instant> times = instanceRecords.stream()
			.filter((r) -> r.names(this.request))
			.map(LogRecord::time)
			.sorted()
			.toList();
		if (times.isEmpty()) {
			return List.of();
		}
		Map<Integer, LogRecord> latestStates = new HashMap<>();
		instanceRecords.stream()
			.filter((r) -> r.isPersistentState() && !r.time().isAfter(times.get(0)))
			.forEach((r) -> latestStates.merge(r.number(), r, (a, b) -> b.time().isBefore(a.time()) ? a : b));
		return instanceRecords.stream()
			.filter((r) -> r.names(this.request) || isNear(r.time(), times) || latestStates.get(r.number()) == r)
			.toList();
	}

	private static boolean isNear(Instant time, List<Instant> times) {
		return times.stream()
			.anyMatch((t) -> time.isAfter(t.minus(CONTEXT_BEFORE)) && !time.isAfter(t.plus(CONTEXT_AFTER)));
	}

	private void read(String file, List<LogRecord> records, PrintStream err) throws CommandException {
		int number = 0;
		int unreadable = 0;
		int readable = 0;
		try (BufferedReader lines = open(file)) {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				number++;
				LogRecord record = LogRecord.parse(file, line);
				if (record != null) {
					readable++;
					if (record.names(this.request) || record.isStateEvent()) {
						records.add(record);
					}
				}
				else if (!line.isBlank()) {
					unreadable++;
				}
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitStatus.FAILED, file + ": cannot be read: " + ex.getMessage());
		}
		if (readable == 0) {
			throw new CommandException(ExitStatus.FAILED, file + ": none of its " + number + " lines is a log record");
		}
		if (unreadable > 0) {
			err.println("mangorack: " + file + ": " + unreadable + " of " + number + " lines are no log records");
		}
	}

	private static BufferedReader open(String file) throws IOException {
		return file.equals(STANDARD_INPUT)
				? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
				: Files.newBufferedReader(Path.of(file));
	}

}
