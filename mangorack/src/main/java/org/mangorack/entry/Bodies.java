package org.mangorack.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.mangorack.call.CallAnswer;

/**
 * Reads the bodies of short answers of other instances.
 */
final class Bodies {

	private Bodies() {
	}

	/**
	 * Reads a body as text.
	 * @param answer the answer
	 * @return the whole body
	 * @throws IOException if the answer broke off
	 */
	static String text(CallAnswer answer) throws IOException {
		return new String(bytes(answer), StandardCharsets.UTF_8);
	}

	/**
	 * Reads a body.
	 * @param answer the answer
	 * @return the whole body
	 * @throws IOException if the answer broke off
	 */
	static byte[] bytes(CallAnswer answer) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		answer.body().writeTo(out);
		return out.toByteArray();
	}

}
