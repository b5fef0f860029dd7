package org.mangorack.keeper;

/**
 * Receives the outcome of a reservation.
 */
public interface ReservationListener {

	/**
	 * Reports that the budget has room for the attempt. The attempt may be sent to an
	 * upstream, but none of its tokens may be passed to the caller before
	 * {@link #durable()}.
	 */
	void granted();

	/**
	 * Reports that the reservation is durable, that is, survives a power failure.
	 */
	void durable();

	/**
	 * Reports that the budget has no room for the attempt.
	 * @param used the tokens that other attempts used or reserved
	 */
	void budgetExceeded(long used);

	/**
	 * Reports that too few keepers replied. Called instead of any other method, or
	 * instead of {@link #durable()}.
	 * @param cause what was missing
	 */
	void unavailable(String cause);

}
