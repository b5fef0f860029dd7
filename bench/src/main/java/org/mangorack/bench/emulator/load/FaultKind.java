package org.mangorack.bench.emulator.load;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What can be wrong with an upstream.
 */
public enum FaultKind {

	/** All work takes a multiple of its time: the degree. */
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

	/** A part of the calls fail: the degree. */
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

	/** The upstream leaves: it finishes what it has. The degree is not used. */
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
	 * Begins the fault.
	 * @param upstream the upstream
	 * @param degree how bad it is
	 */
	public abstract void set(FaultyUpstream upstream, double degree);

	/**
	 * Ends the fault.
	 * @param upstream the upstream
	 */
	public abstract void clear(FaultyUpstream upstream);

	/**
	 * An upstream that can be made faulty.
	 */
	public interface FaultyUpstream {

		/**
		 * Sets how slow it is.
		 * @param factor the multiple of the usual time
		 */
		void setSlowness(double factor);

		/**
		 * Sets how many calls fail.
		 * @param share the part of calls, from 0 to 1
		 */
		void setFailureShare(double share);

		/**
		 * Sets whether it leaves.
		 * @param leaving whether entries are to send it no new calls
		 */
		void setLeaving(boolean leaving);

	}

}
