package org.mangorack.journal;

import org.mangorack.call.Identifiers;

/**
 * Identifies one run of an instance and the journal that it writes.
 *
 * @param instance the name of the instance
 * @param run distinguishes the runs of the instance; never used twice
 */
public record JournalId(String instance, String run) {

	private static final char SEPARATOR = '.';

	public JournalId {
		Identifiers.require("instance", instance);
		Identifiers.require("run", run);
	}

	/**
	 * Parses an identifier.
	 * @param text the identifier as text
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is not an identifier of a journal
	 */
	public static JournalId parse(String text) {
		int split = text.lastIndexOf(SEPARATOR);
		if (split <= 0) {
			throw new IllegalArgumentException("journal \"" + text + "\" is not INSTANCE.RUN");
		}
		return new JournalId(text.substring(0, split), text.substring(split + 1));
	}

	/**
	 * Returns the name of a segment object.
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
