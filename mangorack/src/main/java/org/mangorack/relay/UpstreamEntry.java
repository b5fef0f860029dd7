package org.mangorack.relay;

import org.mangorack.http.HttpAddress;

/**
 * An upstream as it announces itself.
 *
 * @param id the id of this start of the upstream, which it checks on requests
 * @param pool the pool that it belongs to
 * @param address its address
 * @param dataCentre its data centre
 * @param slots the requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param startedAt tells apart starts under the same id
 */
public record UpstreamEntry(String id, String pool, HttpAddress address, String dataCentre, int slots, boolean leaving,
		long startedAt) {

	/**
	 * Tells whether this is the same start of the same upstream.
	 * @param other the other entry
	 * @return {@code true} if what is known of one holds for the other
	 */
	public boolean isSameIncarnation(UpstreamEntry other) {
		return this.id.equals(other.id) && this.address.equals(other.address) && (this.startedAt == other.startedAt);
	}

}
