package org.mangorack.config;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Holds the active configuration of this instance and stores new ones. Each accepted
 * configuration gets the next revision; an instance never activates an older revision
 * again. A configuration that exceeds the size limit of a platform object is split into
 * parts.
 */
public final class ConfigurationStore {

	private static final String CURRENT = "current";

	private static final int MAX_PART_CHARS = 300_000;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

	private final ObjectStore store;

	private volatile Configuration active = Configuration.EMPTY;

	private volatile JsonNode document = Jsons.object();

	public ConfigurationStore(ObjectStore store) {
		this.store = store;
	}

	// ---- Accessors

	/**
	 * Returns the active configuration.
	 * @return the configuration
	 */
	public Configuration current() {
		return this.active;
	}

	/**
	 * Returns the active configuration as JSON.
	 * @return the merged document
	 */
	public JsonNode document() {
		return this.document;
	}

	// ---- Public API

	/**
	 * Activates the stored configuration if it is newer than the active one.
	 * @param cache the cache of the stored objects
	 */
	public synchronized void refresh(KindCache cache) {
		Optional<StoredObject> current = cache.object(CURRENT);
		if (current.isEmpty()) {
			return;
		}
		JsonNode spec = current.get().spec();
		long revision = spec.path("revision").asLong();
		if (revision <= this.active.revision()) {
			return;
		}
		Optional<String> text = joinParts(spec, cache);
		if (text.isEmpty()) {
			return;
		}
		try {
			activate(revision, Jsons.MAPPER.readTree(text.get()));
		}
		catch (IOException ex) {
			EventLog.log(Event.CONFIGURATION_UNREADABLE, ex, "revision", revision);
		}
	}

	/**
	 * Stores a configuration as the next revision.
	 * @param base the revision that the configuration is based on
	 * @param json the merged and validated configuration
	 * @return the new revision, or the refusal, whose verdict is {@code may_have_run}
	 * only if the outcome could not be determined by reading the object
	 */
	public Either<Refusal, Long> apply(long base, JsonNode json) {
		String nonce = UUID.randomUUID().toString();
		try {
			Optional<StoredObject> stored = this.store.get(ObjectKind.CONFIGURATION, CURRENT);
			long revision = stored.map((o) -> o.spec().path("revision").asLong()).orElse(0L);
			if (revision != base) {
				return Either.left(conflict(base, revision));
			}
			JsonNode spec = toSpec(revision + 1, nonce, json);
			write(stored, spec);
			return Either.right(revision + 1);
		}
		catch (StoreException ex) {
			return resolveFailedWrite(base, nonce, ex);
		}
	}

	// ---- Helpers

	private void activate(long revision, JsonNode json) {
		Either<List<Problem>, Configuration> parsed = Configuration.read(revision, json, Map.of());
		if (parsed.isLeft()) {
			EventLog.log(Event.CONFIGURATION_UNREADABLE, "revision", revision, "problems", parsed.getLeft());
			return;
		}
		this.document = json;
		this.active = parsed.get();
		EventLog.log(Event.CONFIGURATION_IN_FORCE, "revision", revision);
	}

	private void write(Optional<StoredObject> stored, JsonNode spec) throws StoreException {
		if (stored.isPresent()) {
			this.store.update(ObjectKind.CONFIGURATION, CURRENT, stored.get().version(), spec);
			deleteParts(stored.get().spec());
		}
		else {
			this.store.create(ObjectKind.CONFIGURATION, CURRENT, spec);
		}
	}

	private Either<Refusal, Long> resolveFailedWrite(long base, String nonce, StoreException cause) {
		boolean conflict = cause.reason() == StoreException.Reason.CONFLICT;
		if (!conflict && !cause.reason().isAmbiguous()) {
			return Either.left(Refusal.unavailable("platform_unavailable", cause.getMessage(), RETRY_AFTER));
		}
		try {
			Optional<StoredObject> stored = this.store.get(ObjectKind.CONFIGURATION, CURRENT);
			if (stored.isPresent() && stored.get().spec().path("nonce").asText().equals(nonce)) {
				return Either.right(stored.get().spec().path("revision").asLong());
			}
			if (stored.isPresent() && (stored.get().spec().path("revision").asLong() > base)) {
				return Either.left(conflict(base, stored.get().spec().path("revision").asLong()));
			}
			return Either.left(Refusal.mayHaveRun(504, "outcome_unknown",
					"the write was not found, but may still take effect: " + cause.getMessage()));
		}
		catch (StoreException ex) {
			return Either.left(Refusal.mayHaveRun(504, "outcome_unknown", ex.getMessage()));
		}
	}

	private static Refusal conflict(long base, long revision) {
		return Refusal.notRun(409, "configuration_conflict", "the configuration was made from revision " + base
				+ ", but another operator stored revision " + revision + " or later");
	}

	private JsonNode toSpec(long revision, String nonce, JsonNode json) throws StoreException {
		String text = json.toString();
		ObjectNode spec = Jsons.object();
		spec.put("revision", revision);
		spec.put("nonce", nonce);
		if (text.length() <= MAX_PART_CHARS) {
			spec.put("text", text);
			return spec;
		}
		ArrayNode parts = spec.putArray("parts");
		for (int from = 0; from < text.length(); from += MAX_PART_CHARS) {
			String name = "part-" + nonce + "-" + (from / MAX_PART_CHARS);
			ObjectNode part = Jsons.object();
			part.put("text", text.substring(from, Math.min(text.length(), from + MAX_PART_CHARS)));
			this.store.create(ObjectKind.CONFIGURATION, name, part);
			parts.add(name);
		}
		return spec;
	}

	private static Optional<String> joinParts(JsonNode spec, KindCache cache) {
		if (spec.has("text")) {
			return Optional.of(spec.path("text").asText());
		}
		StringBuilder text = new StringBuilder();
		for (JsonNode name : spec.path("parts")) {
			Optional<StoredObject> part = cache.object(name.asText());
			if (part.isEmpty()) {
				return Optional.empty();
			}
			text.append(part.get().spec().path("text").asText());
		}
		return Optional.of(text.toString());
	}

	private void deleteParts(JsonNode oldSpec) {
		List<String> names = new ArrayList<>();
		oldSpec.path("parts").forEach((name) -> names.add(name.asText()));
		for (String name : names) {
			try {
				this.store.delete(ObjectKind.CONFIGURATION, name, null);
			}
			catch (StoreException ex) {
				EventLog.log(Event.PLATFORM_UNREACHABLE, "operation", "delete " + name, "cause", ex.getMessage());
			}
		}
	}

}
