package org.mangorack.keeper;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.keeper.proto.Charge;

/**
 * The charges of one program. A charge is reserved at the most that its attempt may use
 * and settled once with what it used; settling again changes nothing, so ledgers of
 * several keepers can be merged in any order.
 */
final class BudgetLedger {

	private final Map<String, Charge> charges = new HashMap<>();

	/**
	 * Adds a charge, or settles one.
	 * @param charge the charge
	 * @return whether the ledger changed
	 */
	boolean merge(Charge charge) {
		Charge known = this.charges.get(charge.getAttempt());
		boolean newer = (known == null) || (charge.getSettled() && !known.getSettled());
		if (newer) {
			this.charges.put(charge.getAttempt(), charge);
		}
		return newer;
	}

	/**
	 * Returns the tokens charged for all attempts but one.
	 * @param attempt the attempt to leave out
	 * @return the tokens used or reserved
	 */
	long tokensBeside(String attempt) {
		return this.charges.values()
			.stream()
			.filter((c) -> !c.getAttempt().equals(attempt))
			.mapToLong(Charge::getTokens)
			.sum();
	}

	/**
	 * Returns all charges.
	 * @return a copy
	 */
	List<Charge> charges() {
		return List.copyOf(this.charges.values());
	}

}
