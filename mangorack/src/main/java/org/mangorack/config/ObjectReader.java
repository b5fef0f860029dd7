package org.mangorack.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

import org.mangorack.call.Identifiers;

/**
 * Reads the fields of a JSON object and collects all problems instead of stopping at the
 * first one. An invalid value is replaced by a default, so that reading can continue.
 */
public final class ObjectReader {

	private final Problems problems;

	private final String path;

	private final JsonNode node;

	private final Set<String> readFields = new HashSet<>();

	public ObjectReader(Problems problems, String path, JsonNode node) {
		this.problems = problems;
		this.path = path;
		this.node = node;
		if (!node.isMissingNode() && !node.isObject()) {
			problems.add(path, node, "is not an object");
		}
	}

	// ---- Accessors

	/**
	 * Returns the JSON path of the object.
	 * @return the path
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Returns whether a field is present and not {@code null}.
	 * @param name the name of the field
	 * @return {@code true} if the field has a value
	 */
	public boolean has(String name) {
		return this.node.hasNonNull(name);
	}

	// ---- Public API

	/**
	 * Reads a required string.
	 * @param name the name of the field
	 * @return the string, or an empty string if the field is missing
	 */
	public String string(String name) {
		if (!has(name)) {
			field(name);
			this.problems.add(childPath(name), null, "is required");
			return "";
		}
		return string(name, "");
	}

	/**
	 * Reads an optional string.
	 * @param name the name of the field
	 * @param defaultValue the value if the field is missing
	 * @return the string
	 */
	public String string(String name, String defaultValue) {
		JsonNode value = field(name);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isTextual() || value.asText().isEmpty()) {
			this.problems.add(childPath(name), value, "is not a non-empty text");
			return defaultValue;
		}
		return value.asText();
	}

	/**
	 * Reads a string and converts it.
	 * @param name the name of the field
	 * @param parser converts the string; throws {@link IllegalArgumentException} to
	 * reject it
	 * @param defaultValue the value if the field is missing or invalid; if it is
	 * {@code null}, a missing field is a problem
	 * @param <T> the type of the value
	 * @return the value
	 */
	public <T> T parsed(String name, Function<String, T> parser, T defaultValue) {
		String text = (defaultValue != null) ? string(name, null) : string(name);
		if ((text == null) || text.isEmpty()) {
			return defaultValue;
		}
		try {
			return parser.apply(text);
		}
		catch (IllegalArgumentException ex) {
			this.problems.add(childPath(name), field(name), "is refused: " + ex.getMessage());
			return defaultValue;
		}
	}

	/**
	 * Reads an optional integer.
	 * @param name the name of the field
	 * @param min the smallest accepted value
	 * @param max the largest accepted value
	 * @param defaultValue the value if the field is missing
	 * @return the number
	 */
	public long integer(String name, long min, long max, long defaultValue) {
		JsonNode value = field(name);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			this.problems.add(childPath(name), value, "is not a whole number");
			return defaultValue;
		}
		if ((value.asLong() < min) || (value.asLong() > max)) {
			this.problems.add(childPath(name), value, "is not in " + min + ".." + max);
			return defaultValue;
		}
		return value.asLong();
	}

	/**
	 * Reads an optional number.
	 * @param name the name of the field
	 * @param min the smallest accepted value
	 * @param max the largest accepted value
	 * @param defaultValue the value if the field is missing
	 * @return the number
	 */
	public double number(String name, double min, double max, double defaultValue) {
		JsonNode value = field(name);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isNumber() || (value.asDouble() < min) || (value.asDouble() > max)) {
			this.problems.add(childPath(name), value, "is not a number in " + min + ".." + max);
			return defaultValue;
		}
		return value.asDouble();
	}

	/**
	 * Reads an optional boolean.
	 * @param name the name of the field
	 * @param defaultValue the value if the field is missing
	 * @return the value
	 */
	public boolean bool(String name, boolean defaultValue) {
		JsonNode value = field(name);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			this.problems.add(childPath(name), value, "is not true or false");
			return defaultValue;
		}
		return value.asBoolean();
	}

	/**
	 * Reads an optional list of strings.
	 * @param name the name of the field
	 * @return the strings; empty if the field is missing
	 */
	public List<String> strings(String name) {
		JsonNode value = field(name);
		List<String> texts = new ArrayList<>();
		if (value.isMissingNode() || value.isNull()) {
			return texts;
		}
		if (!value.isArray()) {
			this.problems.add(childPath(name), value, "is not a list");
			return texts;
		}
		for (int i = 0; i < value.size(); i++) {
			if (value.get(i).isTextual()) {
				texts.add(value.get(i).asText());
			}
			else {
				this.problems.add(childPath(name) + "[" + i + "]", value.get(i), "is not a text");
			}
		}
		return texts;
	}

	/**
	 * Reads an optional object.
	 * @param name the name of the field
	 * @return a reader for the object, which is empty if the field is missing
	 */
	public ObjectReader object(String name) {
		return new ObjectReader(this.problems, childPath(name), field(name));
	}

	/**
	 * Reads an optional map of objects whose names are identifiers.
	 * @param name the name of the field
	 * @param reader reads one object, given its name and a reader; {@link #finish} is
	 * called on the reader afterwards
	 * @param <T> the type of the values
	 * @return the values by name, in the order of the file
	 */
	public <T> Map<String, T> objects(String name, BiFunction<String, ObjectReader, T> reader) {
		Map<String, T> values = new LinkedHashMap<>();
		ObjectReader parent = object(name);
		parent.node.fields().forEachRemaining((entry) -> {
			if (!Identifiers.isValid(entry.getKey())) {
				this.problems.add(parent.childPath(entry.getKey()), null,
						"has a name that is not made of letters, digits, '.', '_' and '-'");
				return;
			}
			ObjectReader child = parent.object(entry.getKey());
			values.put(entry.getKey(), reader.apply(entry.getKey(), child));
			child.reportUnknownFields();
		});
		return values;
	}

	/**
	 * Reports a problem with a field.
	 * @param name the name of the field
	 * @param reason why its value is invalid
	 */
	public void reject(String name, String reason) {
		JsonNode value = this.node.path(name);
		this.problems.add(childPath(name), value.isMissingNode() ? null : value, reason);
	}

	/**
	 * Reports all fields that were not read as unknown.
	 */
	public void reportUnknownFields() {
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!this.readFields.contains(name)) {
				this.problems.add(childPath(name), this.node.get(name), "is an unknown field");
			}
		});
	}

	// ---- Helpers

	private JsonNode field(String name) {
		this.readFields.add(name);
		JsonNode value = this.node.path(name);
		return value.isNull() ? MissingNode.getInstance() : value;
	}

	private String childPath(String name) {
		return this.path + "." + name;
	}

}
