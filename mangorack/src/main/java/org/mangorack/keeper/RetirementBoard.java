package org.mangorack.keeper;

import java.util.Set;

import org.mangorack.platform.StoreException;

/**
 * The retirement requests of operators. A keeper that is retired leaves the group.
 */
public interface RetirementBoard {

	/**
	 * Returns the keepers for which a retirement request exists, including those that
	 * have already left. A keeper stays out of the group as long as its request exists.
	 * @return the instance names of the keepers
	 */
	Set<String> requested();

	/**
	 * Reports the progress of a retirement. Its completion may be reported repeatedly and
	 * is written only once.
	 * @param instance the instance name of the keeper
	 * @param done whether the group no longer depends on any disk of the keeper: none is
	 * a member, and what it held has its full number of copies elsewhere
	 * @throws StoreException if the report cannot be written
	 */
	void report(String instance, boolean done) throws StoreException;

}
