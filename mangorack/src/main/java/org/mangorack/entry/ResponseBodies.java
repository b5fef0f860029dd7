package org.mangorack.entry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.mangorack.call.CallAnswer;

/**
 * Reads the complete bodies of short responses from other instances.
 */
final class ResponseBodies {

	private ResponseBodies() {
	}

	/**
	 * Reads a body as UTF-8 text.
	 * @param answer the response
	 * @return the complete body
	 * @throws IOException if the response ended before its body was complete
	 */
	static String text(CallAnswer answer) throws IOException {
		return new String(bytes(answer), StandardCharsets.UTF_8);
	}

	/**
	 * Reads a body.
	 * @param answer the response
	 * @return the complete body
	 * @throws IOException if the response ended before its body was complete
	 */
	static byte[] bytes(CallAnswer answer) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		answer.body().writeTo(out);
		return out.toByteArray();
	}

}
