package org.mangorack.platform;

/**
 * Thrown when a call to the object API fails.
 */
public class StoreException extends Exception {

	private final Reason reason;

	public StoreException(Reason reason, String message) {
		super(message);
		this.reason = reason;
	}

	public StoreException(Reason reason, String message, Throwable cause) {
		super(message, cause);
		this.reason = reason;
	}

	/**
	 * Returns why the call failed.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * The reasons for a failed call.
	 */
	public enum Reason {

		/**
		 * Another writer changed, created or deleted the object. This call changed
		 * nothing.
		 */
		CONFLICT(false),

		/** The object does not exist. */
		NOT_FOUND(false),

		/** The version to watch from is too old. */
		TOO_OLD(false),

		/** The request was malformed or too large. Nothing changed. */
		REJECTED(false),

		/** The object API did not process the request. Nothing changed. */
		UNREACHABLE(false),

		/** The outcome is unknown; a write may have taken effect. */
		UNKNOWN(true);

		private final boolean ambiguous;

		Reason(boolean ambiguous) {
			this.ambiguous = ambiguous;
		}

		/**
		 * Returns whether a write may have taken effect.
		 * @return {@code true} if the object must be read to determine the outcome
		 */
		public boolean isAmbiguous() {
			return this.ambiguous;
		}

	}

}
