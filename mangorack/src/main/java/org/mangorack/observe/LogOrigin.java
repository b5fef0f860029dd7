package org.mangorack.observe;

import java.io.IOException;
import java.io.StringWriter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * The origin of log records: the role of the process and, once its settings have been
 * read, its instance. The origin is global to the process, so that records of libraries
 * carry it as well. Only the entry point of a process sets it; in a process that runs
 * several nodes, as tests do, it is not set, and log records lack both fields.
 */
public final class LogOrigin {

	/**
	 * The origin of records that are written before the origin is set.
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
	 * Sets the role of this process. Called at startup; records lack the instance until
	 * it is set as well.
	 * @param role the role
	 */
	public static void set(ProcessRole role) {
		current = new LogOrigin(role, null);
	}

	/**
	 * Sets the role and instance of this process. Called as soon as the settings have
	 * been read.
	 * @param role the role
	 * @param instance the instance
	 */
	public static void set(ProcessRole role, String instance) {
		current = new LogOrigin(role, instance);
	}

	/**
	 * Returns the origin of the records of this process.
	 * @return the origin that was set last
	 */
	static LogOrigin current() {
		return current;
	}

	/**
	 * Returns the JSON fields that describe the origin.
	 * @return the JSON fields, each preceded by a comma; empty if the origin is unknown
	 */
	String fields() {
		return this.fields;
	}

	// Built once, because the fields are the same in every record.
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
			throw new IllegalStateException("cannot write JSON to a string", ex);
		}
		return "," + text.getBuffer().substring(1, text.getBuffer().length() - 1);
	}

}
