package org.mangorack.keeper;

import java.util.Set;

import org.mangorack.platform.StoreException;

/**
 * The requests of operators to empty keepers.
 */
public interface RetirementBoard {

	/**
	 * Returns the keepers that are to be emptied or were. They stay out of the group as
	 * long as the request is there.
	 * @return the names of their instances
	 */
	Set<String> requested();

	/**
	 * Reports how far the emptying of a keeper is. Its end may be reported again and is
	 * written once.
	 * @param instance the name of the keeper's instance
	 * @param done whether nothing depends on its disk any more
	 * @throws StoreException if the report could not be written
	 */
	void report(String instance, boolean done) throws StoreException;

}
