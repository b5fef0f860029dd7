package org.mangorack.keeper;

/**
 * Runs the tests of {@link TurnStore} with all content of turns on the disk only.
 */
class ReleasedTurnStoreTests extends TurnStoreTests {

	@Override
	long maxResidentBytes() {
		return 0;
	}

}
