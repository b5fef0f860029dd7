package org.mangorack.operator.impl;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.format.DateTimeParseException;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.call.Jsons;
import org.mangorack.observe.Event;

/**
 * A parsed log record.
 *
 * @param source the prefix that a log collector put before the record, or the file name
 * if there is none
 * @param time the time of the record
 * @param instance the instance that wrote the record, or empty if it is not recorded
 * @param role the role of that instance, or empty if it is not recorded
 * @param event the event fields
 */
record LogRecord(String source, Instant time, String instance, String role, JsonNode event) {

	// Events that report a change in the state of an instance or in its view of keepers,
	// upstreams, configuration and the platform.
	private static final Set<Event> STATE_EVENTS = Set.of(Event.INSTANCE_STARTED, Event.DRAIN_STARTED,
			Event.INSTANCE_STOPPED, Event.LEASE_LAPSED, Event.LEASE_REGAINED, Event.INSTANCE_FENCED,
			Event.PLATFORM_UNREACHABLE, Event.PLATFORM_REACHABLE, Event.WATCH_RESTARTED, Event.WATCH_REGAINED,
			Event.CONFIGURATION_IN_FORCE, Event.PEER_LOST, Event.SERVING_SUSPENDED, Event.SERVING_RESUMED,
			Event.KEEPER_LOST, Event.KEEPER_REGAINED, Event.KEEPER_SILENT, Event.GROUP_VIEW, Event.UPSTREAM_OUT_OF_USE,
			Event.UPSTREAM_AVOIDED, Event.CONFIGURATION_STALE, Event.CONFIGURATION_CONFIRMED);

	// Events whose state remains valid until the next event of the same kind.
	private static final Set<Event> PERSISTENT_STATE_EVENTS = Set.of(Event.INSTANCE_STARTED,
			Event.CONFIGURATION_IN_FORCE, Event.GROUP_VIEW);

	private static final Set<String> NON_DETAIL_FIELDS = Set.of("message", "event", "request");

	private static final DateTimeFormatter TIME = new DateTimeFormatterBuilder().appendInstant(3).toFormatter();

	private static final String UNKNOWN = "-";

	/**
	 * Parses a line. Log collectors put a prefix before the record, so the record starts
	 * at the first brace.
	 * @param file the file that contains the line
	 * @param line the line
	 * @return the record, or {@code null} if the line is not a log record
	 */
	static LogRecord parse(String file, String line) {
		int brace = line.indexOf('{');
		if (brace < 0) {
			return null;
		}
		try {
			JsonNode json = Jsons.MAPPER.readTree(line.substring(brace));
			String before = line.substring(0, brace).strip();
			return new LogRecord(before.isEmpty() ? file : before, Instant.parse(json.path("time").asText()),
					json.path("instance").asText(), json.path("role").asText(), json.path("event"));
		}
		catch (JsonProcessingException | DateTimeParseException ex) {
			// The caller counts the lines that are not log records.
			return null;
		}
	}

	/**
	 * Returns whether this record refers to a request.
	 * @param request the request id
	 * @return {@code true} if the record names the request
	 */
	boolean names(String request) {
		return this.event.path("request").asText().equals(request);
	}

	/**
	 * Returns whether this record reports a change in the state of its instance or in its
	 * view of other components.
	 * @return {@code true} for such an event
	 */
	boolean isStateEvent() {
		return STATE_EVENTS.stream().anyMatch(this::hasNumberOf);
	}

	/**
	 * Returns whether the state that this record reports remains valid until the next
	 * record of the same event.
	 * @return {@code true} for such an event
	 */
	boolean isPersistentState() {
		return PERSISTENT_STATE_EVENTS.stream().anyMatch(this::hasNumberOf);
	}

	/**
	 * Returns the number of the event.
	 * @return the number, or 0 for a record of a library
	 */
	int number() {
		return this.event.path("event").asInt();
	}

	/**
	 * Returns the origin of this record.
	 * @return the instance and its role
	 */
	String origin() {
		if (this.role.isEmpty()) {
			return this.instance.isEmpty() ? UNKNOWN : this.instance;
		}
		return (this.instance.isEmpty() ? UNKNOWN : this.instance) + " (" + this.role + ")";
	}

	/**
	 * Returns a key that groups the records of one instance: its name and role, or the
	 * source if the log does not contain them.
	 * @return a key that differs between instances
	 */
	String originKey() {
		return this.instance.isEmpty() ? this.source : origin();
	}

	/**
	 * Formats this record as a line of output.
	 * @param request the id of the traced request
	 * @param width the width to which the origin is padded, in characters
	 * @return the line
	 */
	String describe(String request, int width) {
		StringBuilder text = new StringBuilder();
		text.append(TIME.format(this.time)).append(names(request) ? "  request   " : "  instance  ").append(origin());
		text.append(" ".repeat(width - origin().length())).append("  ").append(this.event.path("message").asText());
		this.event.fields().forEachRemaining((field) -> {
			if (!NON_DETAIL_FIELDS.contains(field.getKey())) {
				text.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
			}
		});
		return text.append("  [").append(number()).append(", ").append(this.source).append(']').toString();
	}

	private boolean hasNumberOf(Event kind) {
		return kind.number() == number();
	}

}
