package org.mangorack.keeper;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Pulse;

/**
 * A keeper's list of entries, as the pulses of that keeper tell it. Immutable.
 *
 * @param start the start of the keeper within which versions count; 0 before any list
 * @param version the version of the list; 0 before any list
 * @param entries the entries by instance
 */
public record EntryList(long start, long version, Map<String, Entry> entries) {

	/**
	 * The list before any pulse.
	 */
	public static final EntryList NONE = new EntryList(0, 0, Map.of());

	/**
	 * Creates a list.
	 * @param start the start of the keeper within which versions count
	 * @param version the version of the list
	 * @param entries the entries by instance, which are copied
	 */
	public EntryList {
		entries = Map.copyOf(Objects.requireNonNull(entries, "entries must not be null"));
	}

	/**
	 * Tells whether this is the list that a pulse describes.
	 * @param pulse a pulse with lists
	 * @return {@code true} if it is of the same start and version
	 */
	public boolean isAsOf(Pulse pulse) {
		return (this.start == pulse.getEntriesStart()) && (this.version == pulse.getEntries());
	}

	/**
	 * Returns the list after a pulse. A pulse that an earlier one overtook, or whose
	 * changes start from a list that is not known, changes nothing. The next beat names
	 * the list that is known, and its answer holds what it lacks.
	 * @param pulse a pulse with lists, of the keeper whose list this is
	 * @return the list that the pulse describes, or this one
	 */
	public EntryList after(Pulse pulse) {
		boolean sameStart = this.start == pulse.getEntriesStart();
		if (sameStart && (pulse.getEntries() <= this.version)) {
			return this;
		}
		boolean whole = pulse.getEntriesSince() == 0;
		// Changes since an earlier version hold those since this one as well.
		if (!whole && (!sameStart || (pulse.getEntriesSince() > this.version))) {
			return this;
		}
		Map<String, Entry> after = whole ? new HashMap<>() : new HashMap<>(this.entries);
		pulse.getEntryGoneList().forEach(after::remove);
		pulse.getEntryList().forEach((entry) -> after.put(entry.getInstance(), entry));
		return new EntryList(pulse.getEntriesStart(), pulse.getEntries(), after);
	}

}
