package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.util.regex.Pattern;

/**
 * The stream of events that one caller gets: from one upstream or, if the stream may be
 * resumed, from several in turn. Knows the place up to which the caller has whole events,
 * and takes no event of a resumed run that does not follow there. Used by the thread for
 * traffic only.
 */
final class ResponseStream {

	private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

	private final boolean resumable;

	private final ByteArrayOutputStream output;

	private boolean begun;

	private boolean resumed;

	private int events;

	// The id of the last event, or the place that the caller named; -1 for neither.
	private long position;

	// Whether each event had the id after the one before.
	private boolean consecutive = true;

	private boolean positionKnown = true;

	/**
	 * Creates a stream without events.
	 * @param resumable whether another run may go on where one broke off
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
	 * Tells whether the caller has the head of the answer.
	 * @return {@code true} once the head was passed on
	 */
	boolean isBegun() {
		return this.begun;
	}

	/**
	 * Returns the number of events that the caller got.
	 * @return the whole events with data
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the text of the turn.
	 * @return the data of each event followed by a line feed
	 */
	byte[] output() {
		return this.output.toByteArray();
	}

	/**
	 * Tells whether the request may be sent again.
	 * @return {@code true} unless the caller has a part that no other run can go on from
	 */
	boolean mayRetry() {
		return !this.begun || (this.resumable && this.positionKnown);
	}

	/**
	 * Returns where the next run has to go on.
	 * @return the id of the last event, or {@code null} if the caller got none
	 */
	String lastEventId() {
		return (this.events > 0) ? Long.toString(this.position) : null;
	}

	// ---- Changes

	/**
	 * Notes that the head was passed on.
	 */
	void begin() {
		this.begun = true;
	}

	/**
	 * Notes that an upstream begins to answer.
	 */
	void runStarted() {
		this.resumed = this.events > 0;
	}

	/**
	 * Takes a whole event.
	 * @param id its id, or {@code null} if it has none
	 * @param data its data
	 * @return whether the caller may get it; {@code false} if it does not follow the last
	 * one
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
