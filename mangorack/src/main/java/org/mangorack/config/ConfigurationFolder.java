package org.mangorack.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.Jsons;

/**
 * A folder of JSON files that are merged in the order of their file names. Objects are
 * merged recursively, later scalars and arrays replace earlier ones, and {@code null}
 * removes a field.
 */
public final class ConfigurationFolder {

	private final Path folder;

	private final ObjectNode merged = Jsons.object();

	private final Map<String, String> origins = new HashMap<>();

	private final Problems problems;

	private ConfigurationFolder(Path folder) {
		this.folder = folder;
		this.problems = new Problems(folder.toString(), Map.of());
	}

	// ---- Public API

	/**
	 * Reads, merges and validates the files of a folder.
	 * @param folder the folder
	 * @return the merged configuration as JSON, or all problems of all files
	 */
	public static Either<List<Problem>, JsonNode> read(Path folder) {
		ConfigurationFolder reader = new ConfigurationFolder(folder);
		reader.mergeFiles();
		Configuration.read(1, reader.merged, reader.origins).peekLeft((list) -> list.forEach(reader.problems::add));
		if (!reader.problems.isEmpty()) {
			return Either.left(reader.problems.sorted());
		}
		return Either.right(reader.merged);
	}

	// ---- Helpers

	private void mergeFiles() {
		try (Stream<Path> files = Files.list(this.folder)) {
			files.filter((f) -> f.getFileName().toString().endsWith(".json"))
				.sorted((a, b) -> a.getFileName().toString().compareTo(b.getFileName().toString()))
				.forEach(this::mergeFile);
		}
		catch (IOException ex) {
			this.problems.add("$", null, "cannot be read: " + ex.getMessage());
		}
	}

	private void mergeFile(Path file) {
		String name = file.getFileName().toString();
		try {
			JsonNode json = Jsons.parse(Files.readAllBytes(file));
			if (json.isObject()) {
				merge(this.merged, (ObjectNode) json, "$", name);
			}
			else {
				this.problems.add(new Problem(name, "$", json.toString(), "is not an object"));
			}
		}
		catch (JsonProcessingException ex) {
			this.problems.addMalformed(name, ex);
		}
		catch (IOException ex) {
			this.problems.add(new Problem(name, "$", null, "cannot be read: " + ex.getMessage()));
		}
	}

	private void merge(ObjectNode target, ObjectNode source, String path, String file) {
		source.fields().forEachRemaining((field) -> {
			String childPath = path + "." + field.getKey();
			JsonNode value = field.getValue();
			if (value.isNull()) {
				target.remove(field.getKey());
				return;
			}
			this.origins.put(childPath, file);
			if (value.isObject()) {
				JsonNode existing = target.get(field.getKey());
				ObjectNode targetObject = (existing instanceof ObjectNode node) ? node
						: target.putObject(field.getKey());
				merge(targetObject, (ObjectNode) value, childPath, file);
				return;
			}
			target.set(field.getKey(), value);
		});
	}

}
