package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.List;

import org.mangorack.keeper.proto.Turn;

/**
 * A turn to store, and the turns that it continues.
 *
 * @param turn the turn
 * @param predecessors its predecessors up to the start of the chain, newest first
 */
public record ChainedTurn(Turn turn, List<Turn> predecessors) {

	/**
	 * Creates a turn with its chain.
	 */
	public ChainedTurn {
		predecessors = List.copyOf(predecessors);
	}

	/**
	 * Returns consecutive predecessors.
	 * @param id the id of the first one
	 * @param maxBytes the maximum total size in bytes, which a single turn may exceed
	 * @return the predecessor with that id and those before it that fit, newest first;
	 * empty if there is none with that id
	 */
	List<Turn> predecessorsFrom(String id, int maxBytes) {
		List<Turn> found = new ArrayList<>();
		long bytes = 0;
		for (Turn predecessor : this.predecessors) {
			boolean inRange = !found.isEmpty() || predecessor.getId().equals(id);
			bytes += inRange ? predecessor.getSerializedSize() : 0;
			if (inRange && !found.isEmpty() && (bytes > maxBytes)) {
				break;
			}
			if (inRange) {
				found.add(predecessor);
			}
		}
		return found;
	}

}
