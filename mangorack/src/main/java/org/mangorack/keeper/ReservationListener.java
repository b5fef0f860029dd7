package org.mangorack.keeper;

/**
 * Receives the outcome of a reservation.
 */
public interface ReservationListener {

	/**
	 * Reports that the budget holds the attempt. It may be sent; none of its tokens may
	 * be handed out before {@link #durable()}.
	 */
	void granted();

	/**
	 * Reports that the reservation outlives a loss of power.
	 */
	void durable();

	/**
	 * Reports that the budget does not hold the attempt.
	 * @param used the tokens that other attempts used or reserved
	 */
	void spent(long used);

	/**
	 * Reports that too few keepers answered. Called instead of any other method, or
	 * instead of {@link #durable()}.
	 * @param cause what was missing
	 */
	void unavailable(String cause);

}
