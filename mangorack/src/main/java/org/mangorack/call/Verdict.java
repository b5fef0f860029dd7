package org.mangorack.call;

/**
 * Whether a request ran on its upstream, in the order from no to yes.
 */
public enum Verdict {

	/**
	 * The request did not run. Retrying it is always safe.
	 */
	NOT_RUN("not_run") {
		@Override
		public boolean allowsRetry(boolean idempotent) {
			return true;
		}
	},

	/**
	 * The request may have run. Only idempotent requests may be retried.
	 */
	MAY_HAVE_RUN("may_have_run") {
		@Override
		public boolean allowsRetry(boolean idempotent) {
			return idempotent;
		}
	},

	/**
	 * The request ran. Retrying it is never useful.
	 */
	RAN("ran") {
		@Override
		public boolean allowsRetry(boolean idempotent) {
			return false;
		}
	};

	private final String wireName;

	Verdict(String wireName) {
		this.wireName = wireName;
	}

	/**
	 * Returns the name used in responses and journals.
	 * @return the wire name, such as {@code not_run}
	 */
	public String wireName() {
		return this.wireName;
	}

	/**
	 * Returns whether a request with this verdict may be sent again.
	 * @param idempotent whether running the request twice has the same effect as running
	 * it once
	 * @return {@code true} if the request may be sent again
	 */
	public abstract boolean allowsRetry(boolean idempotent);

	/**
	 * Returns the verdict on a request that was attempted several times. It did not run
	 * only if none of the attempts ran.
	 * @param other the verdict on the other attempts
	 * @return the one of the two verdicts that is further from {@link #NOT_RUN}
	 */
	public Verdict combine(Verdict other) {
		return (compareTo(other) > 0) ? this : other;
	}

	/**
	 * Finds a verdict by its wire name.
	 * @param name the wire name
	 * @return the verdict
	 * @throws IllegalArgumentException if no verdict has that name
	 */
	public static Verdict ofWireName(String name) {
		for (Verdict v : values()) {
			if (v.wireName.equals(name)) {
				return v;
			}
		}
		throw new IllegalArgumentException("unknown verdict \"" + name + "\"");
	}

}
