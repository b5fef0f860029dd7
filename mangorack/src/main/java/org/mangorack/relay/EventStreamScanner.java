package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Finds whole events in the bytes of an event stream. Bytes after the last whole event
 * wait for more.
 */
final class EventStreamScanner {

	private static final byte[] DATA_FIELD = { 'd', 'a', 't', 'a', ':' };

	private static final byte[] ID_FIELD = { 'i', 'd', ':' };

	private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

	private final ByteArrayOutputStream data = new ByteArrayOutputStream(256);

	private final EventReceiver receiver;

	private String id;

	private boolean hasData;

	private boolean refused;

	/**
	 * Creates a scanner.
	 * @param receiver gets each whole event that carries data
	 */
	EventStreamScanner(EventReceiver receiver) {
		this.receiver = receiver;
	}

	/**
	 * Scans bytes.
	 * @param bytes the next bytes of the stream; their indexes stay as they are
	 * @return how many of them belong to whole events that were taken
	 */
	int scan(ByteBuf bytes) {
		int completeBytes = 0;
		for (int i = bytes.readerIndex(); (i < bytes.writerIndex()) && !this.refused; i++) {
			byte b = bytes.getByte(i);
			if (b != '\n') {
				if (b != '\r') {
					this.line.write(b);
				}
				continue;
			}
			if (this.line.size() == 0) {
				dispatchEvent();
				completeBytes = this.refused ? completeBytes : (i + 1 - bytes.readerIndex());
			}
			else {
				processLine();
			}
		}
		return completeBytes;
	}

	/**
	 * Tells whether an event was not taken. Nothing is scanned after it.
	 * @return {@code true} if the receiver refused an event
	 */
	boolean isRefused() {
		return this.refused;
	}

	/**
	 * Tells whether the stream stands between two events.
	 * @return {@code true} if no event has begun that did not end
	 */
	boolean isBetweenEvents() {
		return (this.line.size() == 0) && !this.hasData;
	}

	private void processLine() {
		byte[] bytes = this.line.toByteArray();
		this.line.reset();
		if (startsWith(bytes, DATA_FIELD)) {
			if (this.hasData) {
				this.data.write('\n');
			}
			int from = valueStart(bytes, DATA_FIELD);
			this.data.write(bytes, from, bytes.length - from);
			this.hasData = true;
		}
		else if (startsWith(bytes, ID_FIELD)) {
			int from = valueStart(bytes, ID_FIELD);
			this.id = new String(bytes, from, bytes.length - from, StandardCharsets.UTF_8);
		}
	}

	private void dispatchEvent() {
		if (this.hasData) {
			this.refused = !this.receiver.onEvent(this.id, this.data.toByteArray());
			this.hasData = false;
			this.data.reset();
		}
		this.id = null;
	}

	private static int valueStart(byte[] line, byte[] field) {
		return ((line.length > field.length) && (line[field.length] == ' ')) ? (field.length + 1) : field.length;
	}

	private static boolean startsWith(byte[] line, byte[] field) {
		return (line.length >= field.length) && (Arrays.mismatch(line, 0, field.length, field, 0, field.length) < 0);
	}

	/**
	 * Receives events.
	 */
	@FunctionalInterface
	interface EventReceiver {

		/**
		 * Receives a whole event.
		 * @param id its id, or {@code null} if it has none
		 * @param data its data, lines separated by line feeds
		 * @return whether it is taken
		 */
		boolean onEvent(String id, byte[] data);

	}

}
