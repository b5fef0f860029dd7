package org.mangorack.keeper;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Pulse;

/**
 * A keeper's list of entries, assembled from the heartbeat replies ({@link Pulse}) of
 * that keeper. Immutable.
 *
 * @param incarnation the keeper incarnation that the version belongs to; 0 before any
 * list
 * @param version the version of the list; 0 before any list
 * @param entries the entries by instance
 */
public record EntryList(long incarnation, long version, Map<String, Entry> entries) {

	/**
	 * The empty list before any heartbeat reply.
	 */
	public static final EntryList NONE = new EntryList(0, 0, Map.of());

	/**
	 * Creates a list.
	 * @param incarnation the keeper incarnation that the version belongs to
	 * @param version the version of the list
	 * @param entries the entries by instance, which are copied
	 */
	public EntryList {
		entries = Map.copyOf(Objects.requireNonNull(entries, "entries must not be null"));
	}

	/**
	 * Returns whether this is the list that a heartbeat reply describes.
	 * @param pulse a heartbeat reply with lists
	 * @return {@code true} if keeper incarnation and version are the same
	 */
	public boolean matches(Pulse pulse) {
		return (this.incarnation == pulse.getEntriesStart()) && (this.version == pulse.getEntries());
	}

	/**
	 * Applies a heartbeat reply to this list. A reply that is out of date, or whose
	 * changes are relative to a version later than this one or to another keeper
	 * incarnation, is ignored: the next heartbeat states the known version, and its reply
	 * contains the missing changes.
	 * @param pulse a heartbeat reply with lists, from the keeper whose list this is
	 * @return the list that the reply describes, or this list if the reply is ignored
	 */
	public EntryList apply(Pulse pulse) {
		boolean sameIncarnation = this.incarnation == pulse.getEntriesStart();
		if (sameIncarnation && (pulse.getEntries() <= this.version)) {
			return this;
		}
		boolean full = pulse.getEntriesSince() == 0;
		// Changes since an earlier version include those since this one.
		if (!full && (!sameIncarnation || (pulse.getEntriesSince() > this.version))) {
			return this;
		}
		Map<String, Entry> after = full ? new HashMap<>() : new HashMap<>(this.entries);
		pulse.getEntryGoneList().forEach(after::remove);
		pulse.getEntryList().forEach((entry) -> after.put(entry.getInstance(), entry));
		return new EntryList(pulse.getEntriesStart(), pulse.getEntries(), after);
	}

}
