package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Incremental parser for server-sent events. Buffers an incomplete event until the rest
 * of it is received.
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
	 * @param receiver receives each complete event that has data
	 */
	EventStreamScanner(EventReceiver receiver) {
		this.receiver = receiver;
	}

	/**
	 * Scans the next bytes of the stream.
	 * @param bytes the bytes; their reader and writer indexes are not changed
	 * @return the number of bytes up to the end of the last complete event that was
	 * accepted
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
	 * Returns whether the receiver rejected an event. Nothing is scanned after it.
	 * @return {@code true} if an event was rejected
	 */
	boolean isRefused() {
		return this.refused;
	}

	/**
	 * Returns whether no event is incomplete.
	 * @return {@code true} if the bytes scanned end at an event boundary
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
		 * Receives a complete event.
		 * @param id its id, or {@code null} if it has none
		 * @param data its data, lines separated by line feeds
		 * @return {@code false} to reject the event and stop the scan
		 */
		boolean onEvent(String id, byte[] data);

	}

}
