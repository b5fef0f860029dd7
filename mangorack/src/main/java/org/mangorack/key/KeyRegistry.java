package org.mangorack.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.Identifiers;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Creates, verifies and withdraws the API keys of callers. The platform stores only
 * digests of the keys.
 */
public final class KeyRegistry {

	private static final String PREFIX = "mr_";

	private static final int SECRET_BYTES = 32;

	private static final int ID_BYTES = 8;

	private static final String UNUSED_DIGEST = digest("no key has this text");

	private final SecureRandom random = new SecureRandom();

	private final ObjectStore store;

	private final KindCache cache;

	public KeyRegistry(ObjectStore store, KindCache cache) {
		this.store = store;
		this.cache = cache;
	}

	// ---- Public API

	/**
	 * Verifies a key. The digest is compared in constant time, even if the key does not
	 * exist.
	 * @param key the complete key as presented by the caller
	 * @return the verified key, or empty if the key is invalid or withdrawn
	 */
	public Optional<VerifiedKey> verify(String key) {
		int separator = key.lastIndexOf('_');
		if (!key.startsWith(PREFIX) || (separator < PREFIX.length())) {
			return Optional.empty();
		}
		String id = key.substring(PREFIX.length(), separator);
		Optional<StoredObject> stored = Identifiers.isValid(id) ? this.cache.object(id) : Optional.empty();
		String expected = stored.map((o) -> o.spec().path("digest").asText()).orElse(UNUSED_DIGEST);
		boolean equal = MessageDigest.isEqual(bytes(expected), bytes(digest(key)));
		if (!equal || stored.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new VerifiedKey(id, new WorkspaceId(stored.get().spec().path("workspace").asText())));
	}

	/**
	 * Returns whether a previously verified key is still valid.
	 * @param id the id of the key
	 * @return {@code false} if the key has been withdrawn
	 */
	public boolean isValid(String id) {
		return this.cache.objects().containsKey(id);
	}

	/**
	 * Creates a key.
	 * @param workspace the workspace that the key belongs to
	 * @return the text of the key, which is not stored anywhere, or the refusal
	 */
	public Either<Refusal, String> create(WorkspaceId workspace) {
		String id = HexFormat.of().formatHex(randomBytes(ID_BYTES));
		String secret = Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(SECRET_BYTES));
		String key = PREFIX + id + "_" + secret.replace('_', '~');
		ObjectNode spec = Jsons.object();
		spec.put("workspace", workspace.value());
		spec.put("digest", digest(key));
		try {
			this.store.create(ObjectKind.KEY, id, spec);
		}
		catch (StoreException ex) {
			// The id is random, so a conflict can only be caused by a retry of this
			// write.
			if (ex.reason() != StoreException.Reason.CONFLICT) {
				return Either.left(storeRefusal(ex));
			}
		}
		EventLog.log(Event.KEY_CREATED, "key", id, "workspace", workspace);
		return Either.right(key);
	}

	/**
	 * Withdraws a key.
	 * @param id the id of the key
	 * @return the id, or the refusal
	 */
	public Either<Refusal, String> withdraw(String id) {
		try {
			this.store.delete(ObjectKind.KEY, id, null);
		}
		catch (StoreException ex) {
			if (ex.reason() == StoreException.Reason.NOT_FOUND) {
				return Either.left(Refusal.notRun(404, "unknown_key", "there is no key \"" + id + "\""));
			}
			return Either.left(storeRefusal(ex));
		}
		EventLog.log(Event.KEY_WITHDRAWN, "key", id);
		return Either.right(id);
	}

	// ---- Helpers

	private static Refusal storeRefusal(StoreException ex) {
		if (ex.reason().isAmbiguous()) {
			return Refusal.mayHaveRun(504, "outcome_unknown", ex.getMessage());
		}
		return Refusal.unavailable("platform_unavailable", ex.getMessage(), Duration.ofSeconds(2));
	}

	private byte[] randomBytes(int count) {
		byte[] bytes = new byte[count];
		this.random.nextBytes(bytes);
		return bytes;
	}

	private static String digest(String text) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes(text)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not supported by the Java runtime", ex);
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
