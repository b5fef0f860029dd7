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
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;

import org.mangorack.call.Jsons;
import org.mangorack.operator.Command;
import org.mangorack.operator.CommandException;
import org.mangorack.operator.ExitStatus;

/**
 * Tells the story of a request from the logs of several instances: every record that
 * names it, and what these instances learned about keepers, upstreams, configuration and
 * the platform shortly before.
 */
public final class ExplainCommand extends Command {

	/**
	 * How long before a record of the request other events are shown.
	 */
	static final Duration BEFORE = Duration.ofSeconds(3);

	// Events that change what an instance believes.
	private static final Set<Integer> BELIEFS = Set.of(1001, 1002, 1401, 1402, 1403, 1404, 1501, 2002, 2003, 2004, 2011,
			2202, 2204, 2211, 2212);

	private static final String STANDARD_INPUT = "-";

	@Argument(index = 0, required = true, metaVar = "REQUEST_ID", usage = "the id of the request")
	private String request;

	@Argument(index = 1, required = true, multiValued = true, metaVar = "FILE",
			usage = "logs, one for each instance; - reads standard input")
	private List<String> files = new ArrayList<>();

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		List<LogRecord> records = new ArrayList<>();
		for (String file : this.files) {
			records.addAll(relevant(read(file, err)));
		}
		if (records.stream().noneMatch((r) -> r.names(this.request))) {
			throw new CommandException(ExitStatus.FAILED, "no record names request \"" + this.request
					+ "\"; served requests are sampled, and records may have been left out (event 2311)");
		}
		records.sort(Comparator.comparing(LogRecord::time));
		records.forEach((r) -> out.println(r.describe(this.request)));
		return ExitStatus.DONE;
	}

	private List<LogRecord> relevant(List<LogRecord> all) {
		List<Instant> times = all.stream().filter((r) -> r.names(this.request)).map(LogRecord::time).toList();
		return all.stream().filter((r) -> r.names(this.request) || (r.isBelief() && isNear(r.time(), times))).toList();
	}

	private static boolean isNear(Instant time, List<Instant> times) {
		return times.stream().anyMatch((t) -> !time.isAfter(t) && time.isAfter(t.minus(BEFORE)));
	}

	private static List<LogRecord> read(String file, PrintStream err) throws CommandException {
		List<LogRecord> records = new ArrayList<>();
		int number = 0;
		int unreadable = 0;
		try (BufferedReader lines = open(file)) {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				number++;
				LogRecord record = LogRecord.parse(file, line);
				if (record != null) {
					records.add(record);
				}
				else if (!line.isBlank()) {
					unreadable++;
				}
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitStatus.FAILED, file + ": cannot be read: " + ex.getMessage());
		}
		if (records.isEmpty()) {
			throw new CommandException(ExitStatus.FAILED, file + ": none of its " + number + " lines is a log record");
		}
		if (unreadable > 0) {
			err.println("mangorack: " + file + ": " + unreadable + " of " + number + " lines are no log records");
		}
		return records;
	}

	private static BufferedReader open(String file) throws IOException {
		return file.equals(STANDARD_INPUT)
				? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
				: Files.newBufferedReader(Path.of(file));
	}

	/**
	 * A record of a log.
	 *
	 * @param source the file
	 * @param time when it was written
	 * @param event its fields
	 */
	private record LogRecord(String source, Instant time, JsonNode event) {

		// Collectors of logs put words before the record, so it begins at the first
		// brace.
		private static LogRecord parse(String source, String line) {
			int brace = line.indexOf('{');
			if (brace < 0) {
				return null;
			}
			try {
				JsonNode json = Jsons.MAPPER.readTree(line.substring(brace));
				String before = line.substring(0, brace).strip();
				return new LogRecord(before.isEmpty() ? source : before, Instant.parse(json.path("time").asText()),
						json.path("event"));
			}
			catch (JsonProcessingException | DateTimeParseException ex) {
				// The caller counts lines that are no records.
				return null;
			}
		}

		private boolean names(String request) {
			return this.event.path("request").asText().equals(request);
		}

		private boolean isBelief() {
			return BELIEFS.contains(this.event.path("event").asInt());
		}

		private String describe(String request) {
			StringBuilder text = new StringBuilder();
			text.append(this.time).append(names(request) ? "  " : "  (").append(this.event.path("message").asText());
			this.event.fields().forEachRemaining((field) -> {
				if (!Set.of("message", "event", "request").contains(field.getKey())) {
					text.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
				}
			});
			return text.append(names(request) ? "" : ")")
				.append("  [")
				.append(this.event.path("event").asText())
				.append(", ")
				.append(this.source)
				.append(']')
				.toString();
		}

	}

}
