package org.mangorack.keeper;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.keeper.proto.Charge;

/**
 * The charges against the token budget of one program. Each attempt first reserves the
 * most tokens that it may use, and is settled once with the tokens that it used. Settling
 * is idempotent, so the ledgers of several keepers can be merged in any order.
 */
final class BudgetLedger {

	private final Map<String, Charge> charges = new HashMap<>();

	/**
	 * Adds a charge, or replaces the reservation of the same attempt by its settlement.
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
	 * Returns the tokens charged for all attempts except one.
	 * @param attempt the attempt to exclude
	 * @return the tokens used or reserved
	 */
	long tokensExcluding(String attempt) {
		return this.charges.values()
			.stream()
			.filter((c) -> !c.getAttempt().equals(attempt))
			.mapToLong(Charge::getTokens)
			.sum();
	}

	/**
	 * Returns all charges.
	 * @return an immutable copy of the charges
	 */
	List<Charge> charges() {
		return List.copyOf(this.charges.values());
	}

}
