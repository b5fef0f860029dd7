package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.util.regex.Pattern;

/**
 * The event stream that a caller receives: from one upstream or, if the stream is
 * resumable, from several in succession. Tracks the position up to which the caller has
 * complete events, and rejects events of a resumed run that do not follow that position.
 * Not thread-safe: used only on the traffic event loop.
 */
final class ResponseStream {

	private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

	private final boolean resumable;

	private final ByteArrayOutputStream output;

	private boolean begun;

	private boolean resumed;

	private int events;

	// The id of the last event, or the position that the caller sent; -1 for neither.
	private long position;

	// Whether each event id was the previous one plus one.
	private boolean consecutive = true;

	private boolean positionKnown = true;

	/**
	 * Creates a stream without events.
	 * @param resumable whether another run may resume where one was interrupted
	 * @param keepsOutput whether the data of the events is collected
	 * @param callerPosition the last event that the caller has from an earlier request,
	 * or {@code null}
	 */
	ResponseStream(boolean resumable, boolean keepsOutput, String callerPosition) {
		this.resumable = resumable;
		this.output = keepsOutput ? new ByteArrayOutputStream(1024) : null;
		this.position = isNumber(callerPosition) ? Long.parseLong(callerPosition) : -1;
	}

	// ---- Accessors

	/**
	 * Returns whether the head of the response was forwarded to the caller.
	 * @return {@code true} once it was forwarded
	 */
	boolean isBegun() {
		return this.begun;
	}

	/**
	 * Returns the number of events that the caller received.
	 * @return the complete events with data
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the collected output of the turn.
	 * @return the data of each event followed by a line feed
	 */
	byte[] output() {
		return this.output.toByteArray();
	}

	/**
	 * Returns the size of the collected output.
	 * @return the number of bytes, 0 if none is collected
	 */
	int outputBytes() {
		return (this.output != null) ? this.output.size() : 0;
	}

	/**
	 * Returns whether the request may be sent again.
	 * @return {@code true} unless the caller has received a part that no other run can
	 * continue
	 */
	boolean mayRetry() {
		return !this.begun || (this.resumable && this.positionKnown && (this.events > 0));
	}

	/**
	 * Returns the position at which the next run has to resume.
	 * @return the id of the last event, or {@code null} if the caller received none
	 */
	String lastEventId() {
		return (this.events > 0) ? Long.toString(this.position) : null;
	}

	// ---- Changes

	/**
	 * Records that the head was forwarded.
	 */
	void begin() {
		this.begun = true;
	}

	/**
	 * Records that an upstream begins to respond.
	 */
	void runStarted() {
		this.resumed = this.events > 0;
	}

	/**
	 * Accepts a complete event if it follows the previous one.
	 * @param id its id, or {@code null} if it has none
	 * @param data its data
	 * @return whether the event may be forwarded; {@code false} if it does not follow the
	 * previous one
	 */
	boolean accept(String id, byte[] data) {
		if (this.resumable && !advance(id)) {
			return false;
		}
		this.events++;
		if (this.output != null) {
			this.output.writeBytes(data);
			this.output.write('\n');
		}
		return true;
	}

	private boolean advance(String id) {
		if (!isNumber(id)) {
			this.positionKnown = false;
			return !this.resumed;
		}
		long number = Long.parseLong(id);
		boolean next = number == this.position + 1;
		boolean follows = this.consecutive ? next : (number > this.position);
		if (this.resumed && !follows) {
			return false;
		}
		this.consecutive &= next || (this.position < 0);
		this.position = number;
		return true;
	}

	private static boolean isNumber(String text) {
		return (text != null) && NUMBER.matcher(text).matches();
	}

}
