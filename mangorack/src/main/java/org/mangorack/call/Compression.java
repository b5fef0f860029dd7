package org.mangorack.call;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compresses bytes in the zlib format, at the fastest compression level.
 */
public final class Compression {

	private Compression() {
	}

	/**
	 * Compresses a byte array.
	 * @param bytes the bytes
	 * @return the compressed bytes
	 */
	public static byte[] compress(byte[] bytes) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
			out.write(bytes);
		}
		catch (IOException ex) {
			throw new IllegalStateException("failed to write compressed data to a byte array", ex);
		}
		finally {
			deflater.end();
		}
		return compressed.toByteArray();
	}

	/**
	 * Decompresses a byte array.
	 * @param compressed the compressed bytes
	 * @param limit the maximum number of decompressed bytes
	 * @return the decompressed bytes
	 * @throws IOException if the data is corrupt or truncated, or decompresses to more
	 * than the limit
	 */
	public static byte[] decompress(byte[] compressed, int limit) throws IOException {
		try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
			byte[] bytes = in.readNBytes(limit);
			if (in.read() >= 0) {
				throw new IOException("compressed data expands to more than " + limit + " bytes");
			}
			return bytes;
		}
	}

}
