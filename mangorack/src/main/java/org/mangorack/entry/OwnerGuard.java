package org.mangorack.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.member.proto.CallOpen;

/**
 * Guards calls that the owner of a shard sends: its lease must be held and the key must
 * still be valid.
 */
final class OwnerGuard {

	private static final Duration RETRY_LATER = Duration.ofSeconds(1);

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
				return Optional.of(Refusal.unavailable("lease_lapsed", "this instance lost its lease", RETRY_LATER));
			}
			return keyGuard.check();
		};
	}

}
