package org.mangorack.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.member.proto.CallOpen;

/**
 * Creates the guards for calls that the owner of a shard sends to upstreams. A call may
 * be sent only while the instance holds its lease and the key of the caller is valid.
 */
final class OwnerGuard {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final ServingGuard serving;

	private final BooleanSupplier leaseHeld;

	OwnerGuard(ServingGuard serving, BooleanSupplier leaseHeld) {
		this.serving = serving;
		this.leaseHeld = leaseHeld;
	}

	SendGuard forCall(CallOpen open) {
		SendGuard keyGuard = this.serving.forKey(open.getKeyId());
		return () -> {
			if (!this.leaseHeld.getAsBoolean()) {
				return Optional.of(Refusal.unavailable("lease_lapsed", "this instance lost its lease", RETRY_AFTER));
			}
			return keyGuard.check();
		};
	}

}
