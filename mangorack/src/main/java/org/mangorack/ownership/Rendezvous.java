package org.mangorack.ownership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.zip.CRC32;

import org.mangorack.member.LeaseRecord;

/**
 * Chooses an instance for a key by highest-random-weight hashing: when an instance joins
 * or leaves, only its own share of the keys moves.
 */
final class Rendezvous {

	private Rendezvous() {
	}

	static Optional<LeaseRecord> choose(String key, Collection<LeaseRecord> candidates) {
		return candidates.stream()
			.max(Comparator.comparingLong((LeaseRecord r) -> weight(key, r.instance()))
				.thenComparing(LeaseRecord::instance));
	}

	private static long weight(String key, String instance) {
		CRC32 crc = new CRC32();
		crc.update((key + "|" + instance).getBytes(StandardCharsets.UTF_8));
		return mix(crc.getValue());
	}

	// Spreads the bits of a checksum, as CRC values of similar texts are related.
	private static long mix(long value) {
		long x = (value + 0x9E3779B97F4A7C15L);
		x = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
		x = (x ^ (x >>> 27)) * 0x94D049BB133111EBL;
		return (x ^ (x >>> 31)) >>> 1;
	}

}
