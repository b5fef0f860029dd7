package org.mangorack.fuzz;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;

/**
 * Generates mutated inputs for fuzz tests of decoders.
 */
public final class Mutations {

	private static final int LONG_FRAGMENT_BYTES = 40_000;

	private static final int NESTING_DEPTH = 20_000;

	// Fragments that are known to break decoders: delimiters, deep nesting, long values,
	// invalid UTF-8, and extreme lengths in binary formats.
	private static final List<byte[]> FRAGMENTS = List.of(text("\r\n"), text("\n\n"), text("\u0000"), text("\""),
			text("{"), text("}"), text("["), text("null"), text("-1"), text("1e400"), text("9".repeat(400)),
			text("[".repeat(NESTING_DEPTH)), text("{\"a\":".repeat(NESTING_DEPTH)),
			text("x".repeat(LONG_FRAGMENT_BYTES)), new byte[] { (byte) 0xff, (byte) 0xfe, (byte) 0xc0, (byte) 0x80 },
			new byte[] { -1, -1, -1, -1, 15 }, new byte[] { -1, -1, -1, -1, -1, -1, -1, -1, -1, 1 },
			new byte[] { 127, -1, -1, -1 }, new byte[] { -128, 0, 0, 0 }, new byte[64]);

	private Mutations() {
	}

	/**
	 * Returns inputs with one to four mutations each. One input in ten is random bytes
	 * instead.
	 * @param valid the valid inputs to mutate
	 * @return the mutated inputs; each is a new array
	 */
	public static Arbitrary<byte[]> of(byte[]... valid) {
		return Arbitraries.longs().map((seed) -> {
			Random random = new Random(seed);
			if (random.nextInt(10) == 0) {
				return noise(random, random.nextInt(400));
			}
			byte[] bytes = valid[random.nextInt(valid.length)].clone();
			for (int i = random.nextInt(4); i >= 0; i--) {
				bytes = mutate(random, bytes);
			}
			return bytes;
		});
	}

	private static byte[] mutate(Random random, byte[] bytes) {
		int from = random.nextInt(bytes.length + 1);
		int to = from + random.nextInt(bytes.length - from + 1);
		byte[] part = Arrays.copyOfRange(bytes, from, to);
		return switch (random.nextInt(6)) {
			case 0 -> flip(random, bytes);
			case 1 -> Arrays.copyOf(bytes, from);
			case 2 -> replace(bytes, from, to, new byte[0]);
			case 3 -> replace(bytes, to, to, part);
			case 4 -> replace(bytes, from, from, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
			default -> replace(bytes, from, Math.min(to, from + 8), FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
		};
	}

	private static byte[] flip(Random random, byte[] bytes) {
		byte[] flipped = bytes.clone();
		if (bytes.length > 0) {
			flipped[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
		}
		return flipped;
	}

	private static byte[] replace(byte[] bytes, int from, int to, byte[] by) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.write(bytes, 0, from);
		out.writeBytes(by);
		out.write(bytes, to, bytes.length - to);
		return out.toByteArray();
	}

	private static byte[] noise(Random random, int length) {
		byte[] bytes = new byte[length];
		random.nextBytes(bytes);
		return bytes;
	}

	private static byte[] text(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
