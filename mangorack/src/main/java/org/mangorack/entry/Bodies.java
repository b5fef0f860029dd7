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
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			answer.body().writeTo(out);
			return out.toString(StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			return String.valueOf(ex.getMessage());
		}
	}

}
