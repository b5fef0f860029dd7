package org.mangorack.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Collects the problems found in one or more files.
 */
public final class Problems {

	private final String file;

	private final Map<String, String> origins;

	private final List<Problem> list = new ArrayList<>();

	/**
	 * Creates an empty collection.
	 * @param file the file to report if the origin of a path is unknown
	 * @param origins the file that defines each JSON path
	 */
	public Problems(String file, Map<String, String> origins) {
		this.file = file;
		this.origins = origins;
	}

	/**
	 * Adds a problem.
	 * @param path the JSON path of the value
	 * @param value the value, or {@code null} if it is missing
	 * @param reason why the value is invalid
	 */
	public void add(String path, JsonNode value, String reason) {
		this.list.add(new Problem(origin(path), path, (value != null) ? value.toString() : null, reason));
	}

	/**
	 * Adds a problem found in another file.
	 * @param problem the problem
	 */
	public void add(Problem problem) {
		this.list.add(problem);
	}

	/**
	 * Adds a problem for a file that is not valid JSON.
	 * @param name the name of the file
	 * @param cause the parse error
	 */
	public void addMalformed(String name, JsonProcessingException cause) {
		JsonLocation location = cause.getLocation();
		// Violations of parser limits, such as the nesting depth, have no location.
		String place = (location != null) ? (" at line " + location.getLineNr() + ", column " + location.getColumnNr())
				: "";
		this.list.add(new Problem(name, "$", null, "is not valid JSON: " + cause.getOriginalMessage() + place));
	}

	/**
	 * Returns whether there are no problems.
	 * @return {@code true} if nothing was added
	 */
	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	/**
	 * Returns the problems sorted by file and path.
	 * @return the problems
	 */
	public List<Problem> sorted() {
		return this.list.stream().sorted(Comparator.comparing(Problem::file).thenComparing(Problem::path)).toList();
	}

	private String origin(String path) {
		for (String p = path; !p.isEmpty(); p = parent(p)) {
			String origin = this.origins.get(p);
			if (origin != null) {
				return origin;
			}
		}
		return this.file;
	}

	private static String parent(String path) {
		int dot = path.lastIndexOf('.');
		return (dot < 0) ? "" : path.substring(0, dot);
	}

}
