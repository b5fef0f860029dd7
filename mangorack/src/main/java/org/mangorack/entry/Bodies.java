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

	static String text(CallAnswer answer) {
		return new String(bytes(answer), StandardCharsets.UTF_8);
	}

	static byte[] bytes(CallAnswer answer) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			answer.body().writeTo(out);
			return out.toByteArray();
		}
		catch (IOException ex) {
			return String.valueOf(ex.getMessage()).getBytes(StandardCharsets.UTF_8);
		}
	}

}
