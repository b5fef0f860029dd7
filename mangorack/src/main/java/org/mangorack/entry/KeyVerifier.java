package org.mangorack.entry;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;

import org.mangorack.call.CallRequest;
import org.mangorack.call.Refusal;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Workspace;
import org.mangorack.key.KeyRegistry;
import org.mangorack.key.VerifiedKey;

/**
 * Verifies the API keys of callers and removes the keys from their calls.
 */
final class KeyVerifier {

	private static final String AUTHORIZATION = "Authorization";

	private static final String SCHEME = "Bearer ";

	private final KeyRegistry keys;

	private final ConfigurationStore configuration;

	private final CacheFreshness freshness;

	KeyVerifier(KeyRegistry keys, ConfigurationStore configuration, CacheFreshness freshness) {
		this.keys = keys;
		this.configuration = configuration;
		this.freshness = freshness;
	}

	/**
	 * Verifies the key of a call to an endpoint that always requires one.
	 * @param call the call as received
	 * @return the caller, or the refusal
	 */
	Either<Refusal, Caller> verify(CallRequest call) {
		return verify(call, UnaryOperator.identity());
	}

	/**
	 * Verifies the key of a call.
	 * @param call the call as received
	 * @param onMissingKey maps the refusal of a call without a key to the refusal that is
	 * returned
	 * @return the caller, or the refusal
	 */
	Either<Refusal, Caller> verify(CallRequest call, UnaryOperator<Refusal> onMissingKey) {
		String presentedKey = bearerKey(call);
		if (presentedKey.isEmpty()) {
			return Either.left(onMissingKey
				.apply(Refusal.notRun(401, "key_missing", "the call has no header \"Authorization: Bearer KEY\"")));
		}
		CacheFreshness.Age age = this.freshness.age();
		Optional<VerifiedKey> key = this.keys.verify(presentedKey);
		if (key.isEmpty()) {
			return Either
				.left(age.unavailableIfStale(Refusal.notRun(401, "key_invalid", "the key is wrong or was withdrawn")));
		}
		Optional<Workspace> workspace = this.configuration.current().workspace(key.get().workspace());
		if (workspace.isEmpty()) {
			return Either.left(age.unavailableIfStale(Refusal.notRun(403, "unknown_workspace",
					"workspace \"" + key.get().workspace() + "\" is not configured")));
		}
		return Either.right(new Caller(withoutKey(call), key.get(), workspace.get(), age));
	}

	/**
	 * Removes the {@code Authorization} header and every other header whose value
	 * contains the key.
	 * @param call the call as received
	 * @return the call without the key
	 */
	static CallRequest withoutKey(CallRequest call) {
		String presentedKey = bearerKey(call);
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		call.headers().forEach((name, value) -> {
			boolean carriesKey = name.equalsIgnoreCase(AUTHORIZATION)
					|| (!presentedKey.isEmpty() && value.contains(presentedKey));
			if (!carriesKey) {
				headers.put(name, value);
			}
		});
		return new CallRequest(call.requestId(), call.method(), call.path(), call.query(), headers, call.body());
	}

	private static String bearerKey(CallRequest call) {
		String header = call.header(AUTHORIZATION).orElse("");
		boolean bearer = header.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
		return bearer ? header.substring(SCHEME.length()).strip() : "";
	}

}
