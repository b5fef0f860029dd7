package org.mangorack.keeper;

import java.util.List;

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
	 */
	void absent();

	/**
	 * Called if too few keepers replied to tell whether the turn exists.
	 * @param cause a description of what was missing
	 */
	void undetermined(String cause);

}
