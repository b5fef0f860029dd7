package org.mangorack.journal;

import org.mangorack.call.Identifiers;

/**
 * Identifies one run of an instance, and the journal written by that run.
 *
 * @param instance the name of the instance
 * @param run the identifier of the run, which is never reused
 */
public record JournalId(String instance, String run) {

	private static final char SEPARATOR = '.';

	public JournalId {
		Identifiers.require("instance", instance);
		Identifiers.require("run", run);
	}

	/**
	 * Parses a journal identifier.
	 * @param text the text in the form {@code INSTANCE.RUN}
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is not a journal identifier
	 */
	public static JournalId parse(String text) {
		int split = text.lastIndexOf(SEPARATOR);
		if (split <= 0) {
			throw new IllegalArgumentException("invalid journal identifier \"" + text + "\": expected INSTANCE.RUN");
		}
		return new JournalId(text.substring(0, split), text.substring(split + 1));
	}

	/**
	 * Returns the object name of a segment.
	 * @param number the number of the segment
	 * @return the object name
	 */
	public String segmentName(long number) {
		return String.format("%s.%010d", this, number);
	}

	@Override
	public String toString() {
		return this.instance + SEPARATOR + this.run;
	}

}
