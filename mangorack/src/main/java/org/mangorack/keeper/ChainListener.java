package org.mangorack.keeper;

import java.util.List;
import java.util.Set;

import org.mangorack.keeper.proto.Turn;

/**
 * Receives the result of a search for a chain of turns.
 */
public interface ChainListener {

	/**
	 * Called with the complete chain.
	 * @param chain the turns, newest first
	 */
	void found(List<Turn> chain);

	/**
	 * Called if the turn does not exist.
	 * @param disks the disks of the members that lack the turn
	 * @param view the view of the group in which they are enough
	 */
	void absent(Set<String> disks, GroupView view);

	/**
	 * Called if too few keepers replied to tell whether the turn exists.
	 * @param cause a description of what was missing
	 */
	void undetermined(String cause);

}
