package org.mangorack.relay;

import java.time.Duration;

import org.mangorack.http.HttpAddress;

/**
 * The entry by which an upstream registers at the platform.
 *
 * @param id the id of this incarnation of the upstream, which it checks on requests
 * @param pool the pool that it belongs to
 * @param address its address
 * @param dataCentre its data centre
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether it accepts no new requests
 * @param startedAt distinguishes incarnations with the same id
 * @param coldRemaining for how long it tolerates only few requests, from the time of the
 * registration on; zero if it is not cold
 */
public record UpstreamRegistration(String id, String pool, HttpAddress address, String dataCentre, int slots,
		boolean leaving, long startedAt, Duration coldRemaining) {

	/**
	 * Creates the entry of an upstream that is not cold.
	 * @param id the id of this incarnation of the upstream
	 * @param pool the pool that it belongs to
	 * @param address its address
	 * @param dataCentre its data centre
	 * @param slots the number of requests that it runs concurrently
	 * @param leaving whether it accepts no new requests
	 * @param startedAt distinguishes incarnations with the same id
	 */
	public UpstreamRegistration(String id, String pool, HttpAddress address, String dataCentre, int slots,
			boolean leaving, long startedAt) {
		this(id, pool, address, dataCentre, slots, leaving, startedAt, Duration.ZERO);
	}

	/**
	 * Returns whether both entries describe the same incarnation of the same upstream.
	 * @param other the other entry
	 * @return {@code true} if the state recorded for one applies to the other
	 */
	public boolean isSameIncarnation(UpstreamRegistration other) {
		return this.id.equals(other.id) && this.address.equals(other.address) && (this.startedAt == other.startedAt);
	}

}
