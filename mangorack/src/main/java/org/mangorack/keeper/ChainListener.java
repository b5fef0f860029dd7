package org.mangorack.keeper;

import java.util.List;

import org.mangorack.keeper.proto.Turn;

/**
 * Receives a chain of turns.
 */
public interface ChainListener {

	/**
	 * Reports the whole chain.
	 * @param chain the turns, newest first
	 */
	void found(List<Turn> chain);

	/**
	 * Reports that there is certainly no such turn.
	 */
	void absent();

	/**
	 * Reports that too few keepers answered to be certain.
	 * @param cause what was missing
	 */
	void uncertain(String cause);

}
