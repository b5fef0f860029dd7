package org.mangorack.platform;

import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

import org.mangorack.call.JsonSlice;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;

/**
 * Reads objects one by one, so that an object which cannot be read does not affect
 * others. Each unreadable object is logged and counted once, until it becomes readable or
 * is gone. Thread-safe.
 */
public final class StoredObjectReader {

	private static final String METADATA = "metadata";

	private static final String NAME = "name";

	private static final String UNNAMED = "";

	private final VersionFormat versionFormat;

	private final String contentField;

	private final Metrics metrics;

	// The names of the unreadable objects that were reported.
	private final Map<ObjectKind, Set<String>> reported = new ConcurrentHashMap<>();

	/**
	 * Creates a reader.
	 * @param versionFormat the form in which the metadata holds the version
	 * @param contentField the field of the object that holds the content
	 * @param metrics the registry in which unreadable objects are counted
	 */
	public StoredObjectReader(VersionFormat versionFormat, String contentField, Metrics metrics) {
		this.versionFormat = versionFormat;
		this.contentField = contentField;
		this.metrics = metrics;
	}

	/**
	 * Reads an object of a list or watch, and reports it if it is unreadable.
	 * @param kind the kind of the object
	 * @param slice the object, or {@code null} if there is none
	 * @return the result
	 */
	public Reading read(ObjectKind kind, JsonSlice slice) {
		try {
			if (slice == null) {
				throw new IOException("no object");
			}
			StoredObject object = readObject(slice);
			reportedOf(kind).remove(object.name());
			return new Reading(object, true);
		}
		catch (IOException ex) {
			StoredObject object = new StoredObject(nameOf(slice).orElse(UNNAMED), versionOf(slice).orElse(""),
					MissingNode.getInstance());
			if (reportedOf(kind).add(object.name())) {
				this.metrics.count("mangorack.platform.objects.unreadable", 1, "kind", kind.plural());
				EventLog.log(Event.OBJECT_UNREADABLE, "kind", kind.plural(), "name", object.name(), "cause",
						ex.getMessage());
			}
			return new Reading(object, false);
		}
	}

	/**
	 * Reads a single object.
	 * @param slice the object
	 * @return the object
	 * @throws IOException if the object cannot be read, or has no name or version
	 */
	public StoredObject readObject(JsonSlice slice) throws IOException {
		JsonNode json = slice.parse();
		String name = nameOf(slice).orElseThrow(() -> new IOException("object without a name"));
		String version = versionOf(slice).orElseThrow(
				() -> new IOException("object \"" + name + "\" without a valid " + this.versionFormat.field()));
		return new StoredObject(name, version, json.path(this.contentField));
	}

	/**
	 * Reads only the version of an object.
	 * @param object the object, or {@code null}
	 * @return the version, or empty if the object has none that can be read
	 */
	public Optional<String> versionOf(JsonSlice object) {
		return metadata(object, this.versionFormat.field()).flatMap(this.versionFormat::read);
	}

	/**
	 * Forgets the reported objects that no longer exist.
	 * @param kind the kind of the objects
	 * @param existing the names of all objects of the kind
	 */
	public void retain(ObjectKind kind, Collection<String> existing) {
		reportedOf(kind).retainAll(existing);
	}

	/**
	 * Forgets an object that was deleted.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 */
	public void forget(ObjectKind kind, String name) {
		reportedOf(kind).remove(name);
	}

	// ---- Helpers

	private Set<String> reportedOf(ObjectKind kind) {
		return this.reported.computeIfAbsent(kind, (k) -> ConcurrentHashMap.newKeySet());
	}

	private static Optional<String> nameOf(JsonSlice object) {
		return metadata(object, NAME).filter(JsonNode::isTextual)
			.map(JsonNode::asText)
			.filter((name) -> !name.isEmpty());
	}

	// Parses one field alone, as the remainder of the object may be unreadable.
	private static Optional<JsonNode> metadata(JsonSlice object, String field) {
		Optional<JsonSlice> value = (object != null) ? object.find(METADATA, field) : Optional.empty();
		if (value.isEmpty()) {
			return Optional.empty();
		}
		try {
			return Optional.of(value.get().parse());
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * The forms in which an object API writes versions.
	 */
	public enum VersionFormat {

		/** A revision, which is an integer of 64 bits. */
		REVISION("revision") {
			@Override
			public Optional<String> read(JsonNode json) {
				return (json.isIntegralNumber() && json.canConvertToLong()) ? Optional.of(json.asText())
						: Optional.empty();
			}
		},

		/** An opaque string. */
		RESOURCE_VERSION("resourceVersion") {
			@Override
			public Optional<String> read(JsonNode json) {
				return (json.isTextual() && !json.asText().isEmpty()) ? Optional.of(json.asText()) : Optional.empty();
			}
		};

		private final String field;

		VersionFormat(String field) {
			this.field = field;
		}

		/**
		 * Returns the field of the metadata that holds the version.
		 * @return the name of the field
		 */
		public String field() {
			return this.field;
		}

		/**
		 * Reads a version.
		 * @param json the value
		 * @return the version, or empty if the value is not valid
		 */
		public abstract Optional<String> read(JsonNode json);

	}

	/**
	 * The result of reading an object.
	 *
	 * @param object the object; without content, and with an empty name or version where
	 * those are unreadable too, if it is not readable
	 * @param readable whether the object could be read
	 */
	public record Reading(StoredObject object, boolean readable) {

		/**
		 * Returns whether the name is known.
		 * @return {@code true} if the object has a name
		 */
		public boolean isNamed() {
			return !this.object.name().equals(UNNAMED);
		}

		/**
		 * Delivers a change of this object. An object that has become unreadable is
		 * delivered as deleted, as its former content no longer holds.
		 * @param listener the receiver
		 * @param deleted whether the object was deleted
		 */
		public void deliver(WatchListener listener, boolean deleted) {
			if (!isNamed()) {
				return;
			}
			if (deleted || !this.readable) {
				listener.deleted(this.object);
			}
			else {
				listener.changed(this.object);
			}
		}

	}

}
