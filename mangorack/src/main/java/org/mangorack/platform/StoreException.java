package org.mangorack.platform;

/**
 * A call of the object API that failed.
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
	 * Why a call failed.
	 */
	public enum Reason {

		/**
		 * The object was changed, created or deleted by another writer. Nothing changed.
		 */
		CONFLICT(false),

		/** The object does not exist. */
		NOT_FOUND(false),

		/** The version to watch from is too old. */
		TOO_OLD(false),

		/** The request was refused as malformed or too large. Nothing changed. */
		REJECTED(false),

		/** The object API did not get the request. Nothing changed. */
		UNREACHABLE(false),

		/** No answer came; a write may have taken effect. */
		UNKNOWN(true);

		private final boolean ambiguous;

		Reason(boolean ambiguous) {
			this.ambiguous = ambiguous;
		}

		/**
		 * Tells whether a write may have taken effect.
		 * @return {@code true} if the outcome has to be read back
		 */
		public boolean isAmbiguous() {
			return this.ambiguous;
		}

	}

}
