package org.mangorack.call;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compresses bytes in the zlib format, with little work.
 */
public final class Compression {

	private Compression() {
	}

	/**
	 * Compresses bytes.
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
			throw new IllegalStateException("bytes cannot be written to memory", ex);
		}
		finally {
			deflater.end();
		}
		return compressed.toByteArray();
	}

	/**
	 * Restores compressed bytes.
	 * @param compressed the compressed bytes
	 * @param limit the most bytes that are restored
	 * @return the bytes
	 * @throws IOException if they are damaged, incomplete or more than the limit
	 */
	public static byte[] decompress(byte[] compressed, int limit) throws IOException {
		try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
			byte[] bytes = in.readNBytes(limit);
			if (in.read() >= 0) {
				throw new IOException("compressed bytes hold more than " + limit + " bytes");
			}
			return bytes;
		}
	}

}
