package org.mangorack.call;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * A JSON value within a document. The value is delimited by its brackets and quotes alone
 * and parsed only on request, so that the elements of a list can be parsed one by one,
 * and an element that cannot be parsed leaves the others intact.
 */
public final class JsonSlice {

	/**
	 * The maximum nesting depth of a value that is parsed. Copying, comparing, printing
	 * and serialising a tree may recurse once per level.
	 */
	public static final int MAX_DEPTH = 100;

	private final byte[] bytes;

	private final int start;

	private final int end;

	private JsonSlice(byte[] bytes, int start, int end) {
		this.bytes = bytes;
		this.start = start;
		this.end = end;
	}

	/**
	 * Creates a slice of a whole document.
	 * @param document the document
	 * @return the only value of the document
	 * @throws IOException if the document is empty, is incomplete, or does not end with
	 * its value
	 */
	public static JsonSlice of(byte[] document) throws IOException {
		JsonSlice whole = new JsonSlice(document, 0, document.length);
		int start = whole.skipWhitespace(0);
		JsonSlice value = whole.value(start);
		if ((value.end == start) || (whole.skipWhitespace(value.end) != document.length)) {
			throw new IOException("document of " + document.length + " bytes does not consist of one JSON value");
		}
		return value;
	}

	// ---- Accessors

	/**
	 * Returns the fields of an object. Of fields that have the same name, only the first
	 * one is returned.
	 * @return the values by field name, in order
	 * @throws IOException if this value is not an object
	 */
	public Map<String, JsonSlice> fields() throws IOException {
		requireStart('{');
		Map<String, JsonSlice> fields = new LinkedHashMap<>();
		int position = skipWhitespace(this.start + 1);
		while (byteAt(position) != '}') {
			int nameEnd = skipString(position);
			String name = new String(this.bytes, position + 1, nameEnd - position - 2, StandardCharsets.UTF_8);
			int colon = skipWhitespace(nameEnd);
			if (byteAt(colon) != ':') {
				throw new IOException("no colon after the field name at byte " + position);
			}
			JsonSlice value = value(skipWhitespace(colon + 1));
			fields.putIfAbsent(name, value);
			position = skipSeparator(value.end, '}');
		}
		return fields;
	}

	/**
	 * Returns the elements of an array.
	 * @return the elements, in order
	 * @throws IOException if this value is not an array
	 */
	public List<JsonSlice> elements() throws IOException {
		requireStart('[');
		List<JsonSlice> elements = new ArrayList<>();
		int position = skipWhitespace(this.start + 1);
		while (byteAt(position) != ']') {
			JsonSlice element = value(position);
			elements.add(element);
			position = skipSeparator(element.end, ']');
		}
		return elements;
	}

	/**
	 * Finds a value by the names of the fields that lead to it.
	 * @param path the names of the fields, from the outermost one
	 * @return the value, or empty if there is none
	 */
	public Optional<JsonSlice> find(String... path) {
		JsonSlice value = this;
		try {
			for (String name : path) {
				value = value.fields().get(name);
				if (value == null) {
					return Optional.empty();
				}
			}
			return Optional.of(value);
		}
		catch (IOException ex) {
			// A value that is no object has no fields.
			return Optional.empty();
		}
	}

	/**
	 * Parses this value.
	 * @return the tree
	 * @throws IOException if the value is not valid JSON, or is nested deeper than
	 * {@link #MAX_DEPTH}
	 */
	public JsonNode parse() throws IOException {
		int depth = depth();
		if (depth > MAX_DEPTH) {
			throw new IOException("nested " + depth + " levels deep, but at most " + MAX_DEPTH + " are accepted");
		}
		try {
			return Jsons.MAPPER.readTree(this.bytes, this.start, this.end - this.start);
		}
		catch (JsonProcessingException ex) {
			throw new IOException(ex.getOriginalMessage(), ex);
		}
	}

	// ---- Helpers

	private JsonSlice value(int from) throws IOException {
		return new JsonSlice(this.bytes, from, skipValue(from));
	}

	private int skipValue(int from) throws IOException {
		return switch (byteAt(from)) {
			case '"' -> skipString(from);
			case '{', '[' -> skipContainer(from);
			default -> skipLiteral(from);
		};
	}

	private int skipString(int from) throws IOException {
		if (byteAt(from) != '"') {
			throw new IOException("no string at byte " + from);
		}
		int position = from + 1;
		while (byteAt(position) != '"') {
			position += (this.bytes[position] == '\\') ? 2 : 1;
		}
		return position + 1;
	}

	private int skipContainer(int from) throws IOException {
		int open = 0;
		int position = from;
		do {
			byte next = byteAt(position);
			open += nesting(next);
			position = (next == '"') ? skipString(position) : (position + 1);
		}
		while (open > 0);
		return position;
	}

	private int skipLiteral(int from) {
		int position = from;
		while ((position < this.end) && (",]}:\"{[ \t\r\n".indexOf(this.bytes[position]) < 0)) {
			position++;
		}
		return position;
	}

	private int skipWhitespace(int from) {
		int position = from;
		while ((position < this.end) && (" \t\r\n".indexOf(this.bytes[position]) >= 0)) {
			position++;
		}
		return position;
	}

	private int skipSeparator(int from, char close) throws IOException {
		int position = skipWhitespace(from);
		byte next = byteAt(position);
		if ((next != ',') && (next != close)) {
			throw new IOException("no comma or '" + close + "' at byte " + position);
		}
		return (next == ',') ? skipWhitespace(position + 1) : position;
	}

	private int depth() throws IOException {
		int open = 0;
		int deepest = 0;
		int position = this.start;
		while (position < this.end) {
			byte next = this.bytes[position];
			open += nesting(next);
			deepest = Math.max(deepest, open);
			position = (next == '"') ? skipString(position) : (position + 1);
		}
		return deepest;
	}

	private static int nesting(byte next) {
		return switch (next) {
			case '{', '[' -> 1;
			case '}', ']' -> -1;
			default -> 0;
		};
	}

	private void requireStart(char expected) throws IOException {
		if (byteAt(this.start) != expected) {
			throw new IOException("no '" + expected + "' at byte " + this.start);
		}
	}

	private byte byteAt(int position) throws IOException {
		if (position >= this.end) {
			throw new IOException("the JSON value ends early, at byte " + this.end);
		}
		return this.bytes[position];
	}

}
