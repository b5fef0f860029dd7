package org.mangorack.relay;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * Finds whole events in the bytes of an event stream and keeps their data. Bytes after
 * the last whole event wait for more.
 */
final class EventStreamScanner {

	private static final byte[] DATA = { 'd', 'a', 't', 'a', ':' };

	private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);

	private final ByteArrayOutputStream output;

	private boolean dataSeen;

	private int events;

	/**
	 * Creates a scanner.
	 * @param output receives the data of each event followed by a line feed, or
	 * {@code null} if it is not kept
	 */
	EventStreamScanner(ByteArrayOutputStream output) {
		this.output = output;
	}

	/**
	 * Scans bytes.
	 * @param bytes the next bytes of the stream; their indexes stay as they are
	 * @return how many of them belong to whole events
	 */
	int scan(ByteBuf bytes) {
		int whole = 0;
		for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
			byte b = bytes.getByte(i);
			if (b != '\n') {
				if (b != '\r') {
					this.line.write(b);
				}
				continue;
			}
			if (this.line.size() == 0) {
				endEvent();
				whole = i + 1 - bytes.readerIndex();
			}
			else {
				endLine();
			}
		}
		return whole;
	}

	/**
	 * Returns the number of whole events.
	 * @return the events that carried data
	 */
	int events() {
		return this.events;
	}

	/**
	 * Tells whether the stream stands between two events.
	 * @return {@code true} if no event has begun that did not end
	 */
	boolean isBetweenEvents() {
		return (this.line.size() == 0) && !this.dataSeen;
	}

	private void endLine() {
		byte[] bytes = this.line.toByteArray();
		this.line.reset();
		if (!startsWithData(bytes)) {
			return;
		}
		if (this.output != null) {
			if (this.dataSeen) {
				this.output.write('\n');
			}
			int from = ((bytes.length > DATA.length) && (bytes[DATA.length] == ' ')) ? (DATA.length + 1) : DATA.length;
			this.output.write(bytes, from, bytes.length - from);
		}
		this.dataSeen = true;
	}

	private void endEvent() {
		if (this.dataSeen) {
			this.dataSeen = false;
			this.events++;
			if (this.output != null) {
				this.output.write('\n');
			}
		}
	}

	private static boolean startsWithData(byte[] bytes) {
		if (bytes.length < DATA.length) {
			return false;
		}
		for (int i = 0; i < DATA.length; i++) {
			if (bytes[i] != DATA[i]) {
				return false;
			}
		}
		return true;
	}

}
