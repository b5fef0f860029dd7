package org.mangorack.keeper;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests for turns that are in flight, from their sending until their turns
 * are synced to this disk. The size of a turn is known only once it arrives, so each
 * request counts as the largest reply that is to be expected. Not thread-safe.
 */
final class CopyWindow {

	/**
	 * The expected size in bytes of all replies in flight. A single reply may be larger.
	 */
	static final int MAX_BYTES = 4 * 1024 * 1024;

	/**
	 * The number of requests in flight to one member, which limits what a member that
	 * falls silent holds up.
	 */
	static final int MAX_REQUESTS_PER_MEMBER = 3;

	/**
	 * The number of turns in one request.
	 */
	static final int MAX_BATCH_TURNS = 500;

	// The number of turns in a request while no size is known.
	private static final int FIRST_BATCH_TURNS = 16;

	private final Map<String, Integer> inFlight = new HashMap<>();

	private int requests;

	private long turns;

	private long bytes;

	private int largestTurn;

	/**
	 * Returns whether another request may be sent. While no turn has arrived each member
	 * gets a single request.
	 * @param disk the disk of the member that would be asked
	 * @return {@code true} if there is room
	 */
	boolean hasRoom(String disk) {
		int ofMember = inFlight(disk);
		if ((this.turns == 0) || (this.requests == 0)) {
			return ofMember == 0;
		}
		long reply = Math.max(KeeperService.MAX_BATCH_BYTES, this.largestTurn);
		return (ofMember < MAX_REQUESTS_PER_MEMBER) && ((this.requests + 1) * reply <= MAX_BYTES);
	}

	/**
	 * Returns the number of requests in flight to a member.
	 * @param disk the disk of the member
	 * @return the number of requests
	 */
	int inFlight(String disk) {
		return this.inFlight.getOrDefault(disk, 0);
	}

	/**
	 * Returns how many turns the next request should name: as many as a reply is likely
	 * to hold, so that the others can be asked of other members.
	 * @return the number of turns, at least one
	 */
	int batchTurns() {
		if (this.turns == 0) {
			return FIRST_BATCH_TURNS;
		}
		long fitting = KeeperService.MAX_BATCH_BYTES * this.turns / Math.max(1, this.bytes);
		return (int) Math.max(1, Math.min(MAX_BATCH_TURNS, fitting));
	}

	void begin(String disk) {
		this.inFlight.merge(disk, 1, Integer::sum);
		this.requests++;
	}

	void end(String disk) {
		this.inFlight.merge(disk, -1, Integer::sum);
		this.requests--;
	}

	/**
	 * Records the size of a turn that has arrived.
	 * @param size the size in bytes
	 */
	void recordTurn(int size) {
		this.turns++;
		this.bytes += size;
		this.largestTurn = Math.max(this.largestTurn, size);
	}

}
