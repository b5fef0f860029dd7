package org.mangorack.observe;

import java.io.IOException;
import java.io.StringWriter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Which process writes the log records: its role and, once its settings are read, its
 * instance. There is one origin for the process, so that records of libraries carry it
 * too. Only the entry point of a process says its origin; a process that runs several
 * nodes, as tests do, has none, and its records lack both fields.
 */
public final class LogOrigin {

	/**
	 * The origin of records that are written before the process says what it is.
	 */
	static final LogOrigin UNKNOWN = new LogOrigin(null, null);

	private static volatile LogOrigin current = UNKNOWN;

	private final String fields;

	/**
	 * Creates an origin.
	 * @param role the role, or {@code null} if it is unknown
	 * @param instance the instance, or {@code null} if it is unknown
	 */
	LogOrigin(ProcessRole role, String instance) {
		this.fields = toJson(role, instance);
	}

	/**
	 * Says what this process does. To be called at its start; records lack the instance
	 * until it is known.
	 * @param role the role
	 */
	public static void set(ProcessRole role) {
		current = new LogOrigin(role, null);
	}

	/**
	 * Says what this process does and which instance it is. To be called as soon as the
	 * settings are read.
	 * @param role the role
	 * @param instance the instance
	 */
	public static void set(ProcessRole role, String instance) {
		current = new LogOrigin(role, instance);
	}

	/**
	 * Returns the origin of the records of this process.
	 * @return the origin that was said last
	 */
	static LogOrigin current() {
		return current;
	}

	/**
	 * Returns the fields of a record that say its origin.
	 * @return fields of JSON, each after a comma; empty if nothing is known
	 */
	String fields() {
		return this.fields;
	}

	// Made once, as it is the same in every record.
	private static String toJson(ProcessRole role, String instance) {
		if (role == null) {
			return "";
		}
		StringWriter text = new StringWriter();
		try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
			json.writeStartObject();
			if (instance != null) {
				json.writeStringField("instance", instance);
			}
			json.writeStringField("role", role.logName());
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a string cannot be written to", ex);
		}
		return "," + text.getBuffer().substring(1, text.getBuffer().length() - 1);
	}

}
