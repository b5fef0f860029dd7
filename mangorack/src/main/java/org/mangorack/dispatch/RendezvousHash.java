package org.mangorack.dispatch;

/**
 * Hashes pairs of a key and an upstream, so that all instances rank the upstreams of a
 * key in the same order, and an upstream that comes or goes moves only its own keys.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Returns the score of an upstream for a key. The upstream with the highest score is
	 * chosen; an upstream is chosen for a share of the keys proportional to its weight.
	 * @param key the key
	 * @param upstream the id of the upstream
	 * @param weight the weight of the upstream, above 0
	 * @return the score, above 0
	 */
	public static double score(String key, String upstream, double weight) {
		return -weight / Math.log(uniform(key + "|" + upstream));
	}

	// A number between 0 and 1, exclusive. The mixing makes it depend on all bits of the
	// key, as ids of upstreams often differ in one character only.
	private static double uniform(String text) {
		long x = 0;
		for (int i = 0; i < text.length(); i++) {
			x = (x * 31) + text.charAt(i);
		}
		x += 0x9E3779B97F4A7C15L;
		x = (x ^ (x >>> 30)) * 0xBF58476D1CE4E5B9L;
		x = (x ^ (x >>> 27)) * 0x94D049BB133111EBL;
		x ^= x >>> 31;
		return ((x >>> 11) + 0.5) * 0x1.0p-53;
	}

}
