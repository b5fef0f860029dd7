package org.mangorack.ownership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.zip.CRC32;

import org.mangorack.member.LeaseRecord;

/**
 * Assigns keys to instances by rendezvous (highest random weight) hashing. When an
 * instance joins or leaves, only the keys assigned to it move.
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

	// Mixes the bits of a checksum, because the CRC values of similar strings are
	// correlated.
	private static long mix(long value) {
		long x = (value + 0x9E3779B97F4A7C15L);
		x = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
		x = (x ^ (x >>> 27)) * 0x94D049BB133111EBL;
		return (x ^ (x >>> 31)) >>> 1;
	}

}
