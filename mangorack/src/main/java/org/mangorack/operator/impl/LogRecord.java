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
 * A record of a log.
 *
 * @param source the file, or the words that a collector of logs put before the record
 * @param time when it was written
 * @param instance the instance that wrote it, empty if the record does not say so
 * @param role the role of that instance, empty if the record does not say so
 * @param event its fields
 */
record LogRecord(String source, Instant time, String instance, String role, JsonNode event) {

	// Events that change what an instance believes.
	private static final Set<Event> STATE_EVENTS = Set.of(Event.INSTANCE_STARTED, Event.DRAIN_STARTED,
			Event.INSTANCE_STOPPED, Event.LEASE_LAPSED, Event.LEASE_REGAINED, Event.INSTANCE_FENCED,
			Event.PLATFORM_UNREACHABLE, Event.PLATFORM_REACHABLE, Event.WATCH_RESTARTED, Event.WATCH_REGAINED,
			Event.CONFIGURATION_IN_FORCE, Event.PEER_LOST, Event.SERVING_SUSPENDED, Event.SERVING_RESUMED,
			Event.KEEPER_LOST, Event.KEEPER_REGAINED, Event.KEEPER_SILENT, Event.GROUP_VIEW, Event.UPSTREAM_OUT_OF_USE,
			Event.UPSTREAM_AVOIDED, Event.CONFIGURATION_STALE, Event.CONFIGURATION_CONFIRMED);

	// Events that say what holds until the next one of the same kind.
	private static final Set<Event> PERSISTENT_STATE_EVENTS = Set.of(Event.INSTANCE_STARTED,
			Event.CONFIGURATION_IN_FORCE, Event.GROUP_VIEW);

	private static final Set<String> NON_DETAIL_FIELDS = Set.of("message", "event", "request");

	private static final DateTimeFormatter TIME = new DateTimeFormatterBuilder().appendInstant(3).toFormatter();

	private static final String UNKNOWN = "-";

	/**
	 * Reads a line. Collectors of logs put words before the record, so it begins at the
	 * first brace.
	 * @param file the file that holds the line
	 * @param line the line
	 * @return the record, or {@code null} if the line is none
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
			// The caller counts lines that are no records.
			return null;
		}
	}

	/**
	 * Tells whether this record is about a request.
	 * @param request the id of the request
	 * @return {@code true} if it names the request
	 */
	boolean names(String request) {
		return this.event.path("request").asText().equals(request);
	}

	/**
	 * Tells whether this record changes what its instance believes of its surroundings.
	 * @return {@code true} for such an event
	 */
	boolean isStateEvent() {
		return STATE_EVENTS.stream().anyMatch(this::hasNumberOf);
	}

	/**
	 * Tells whether this record holds until the next one of the same event.
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
	 * Returns who wrote this record.
	 * @return the instance and its role
	 */
	String origin() {
		if (this.role.isEmpty()) {
			return this.instance.isEmpty() ? UNKNOWN : this.instance;
		}
		return (this.instance.isEmpty() ? UNKNOWN : this.instance) + " (" + this.role + ")";
	}

	/**
	 * Returns what the records of one instance have in common: its name and role, or, in
	 * logs that lack them, the source.
	 * @return a text that differs between instances
	 */
	String originKey() {
		return this.instance.isEmpty() ? this.source : origin();
	}

	/**
	 * Returns this record as a line.
	 * @param request the id of the request that is explained
	 * @param width to how many characters the instance and role are filled up
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
