package org.mangorack.bench.emulator.load;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The kinds of faults of an upstream.
 */
public enum FaultKind {

	/** Processing times are multiplied by the degree. */
	@JsonProperty("slow")
	SLOW {
		@Override
		boolean isDegree(double degree) {
			return degree >= 1;
		}

		@Override
		public void set(FaultyUpstream upstream, double degree) {
			upstream.setSlowness(degree);
		}

		@Override
		public void clear(FaultyUpstream upstream) {
			upstream.setSlowness(1);
		}
	},

	/** A fraction of the calls, given by the degree, fails. */
	@JsonProperty("grey")
	GREY {
		@Override
		public void set(FaultyUpstream upstream, double degree) {
			upstream.setFailureShare(degree);
		}

		@Override
		public void clear(FaultyUpstream upstream) {
			upstream.setFailureShare(0);
		}
	},

	/** The upstream is draining: it completes its calls. The degree is ignored. */
	@JsonProperty("leaving")
	LEAVING {
		@Override
		public void set(FaultyUpstream upstream, double degree) {
			upstream.setLeaving(true);
		}

		@Override
		public void clear(FaultyUpstream upstream) {
			upstream.setLeaving(false);
		}
	};

	boolean isDegree(double degree) {
		return (degree >= 0) && (degree <= 1);
	}

	/**
	 * Starts the fault.
	 * @param upstream the upstream
	 * @param degree the severity, whose meaning depends on the kind
	 */
	public abstract void set(FaultyUpstream upstream, double degree);

	/**
	 * Ends the fault.
	 * @param upstream the upstream
	 */
	public abstract void clear(FaultyUpstream upstream);

	/**
	 * An upstream into which faults can be injected.
	 */
	public interface FaultyUpstream {

		/**
		 * Sets the slowdown.
		 * @param factor the factor by which processing times are multiplied
		 */
		void setSlowness(double factor);

		/**
		 * Sets the failure rate.
		 * @param share the fraction of calls that fail, from 0 to 1
		 */
		void setFailureShare(double share);

		/**
		 * Sets whether the upstream is draining.
		 * @param leaving whether entries must not send it new calls
		 */
		void setLeaving(boolean leaving);

	}

}
