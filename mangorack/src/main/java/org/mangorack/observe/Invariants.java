package org.mangorack.observe;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks invariants. A violation is logged and counted instead of thrown, so that one
 * defect does not stop the instance.
 */
public final class Invariants {

	private static final AtomicLong VIOLATIONS = new AtomicLong();

	private Invariants() {
	}

	/**
	 * Checks an invariant.
	 * @param holds whether the invariant holds
	 * @param name a short, stable name of the invariant
	 * @param subject the checked object
	 * @return the value of {@code holds}
	 */
	public static boolean check(boolean holds, String name, Object subject) {
		if (!holds) {
			VIOLATIONS.incrementAndGet();
			EventLog.log(Event.INVARIANT_VIOLATED, "invariant", name, "subject", subject);
		}
		return holds;
	}

	/**
	 * Returns how many violations were found since the process started.
	 * @return the number of violations
	 */
	public static long violations() {
		return VIOLATIONS.get();
	}

}
