package org.mangorack.relay;

import java.util.List;

/**
 * Passes over upstreams that have no room for another call as they start or recover.
 */
final class StartRoom {

	private StartRoom() {
	}

	/**
	 * Selects the upstreams that a call may go to. The limits are relative: if none of
	 * the others can take the call, all upstreams are returned, so that a pool that
	 * restarts as a whole is used in full.
	 * @param <T> the type of the upstreams
	 * @param candidates the available upstreams of a pool
	 * @param now the time on the monotonic clock
	 * @return those that are not limited or have room, or all candidates
	 */
	static <T extends UpstreamCandidate> List<T> select(List<T> candidates, long now) {
		if (candidates.stream().noneMatch((u) -> u.startPace().isLimited())) {
			return candidates;
		}
		// The call itself counts, so that an entry without calls has a share.
		double own = 1;
		double all = 1;
		for (T u : candidates) {
			own += u.callsInFlight();
			all += u.load() * u.slots();
		}
		double share = own / all;
		List<T> started = candidates.stream().filter((u) -> u.hasStartRoom(share, now)).toList();
		boolean available = started.stream().anyMatch((u) -> !u.isAvoided(now) && (u.load() < UpstreamTable.ROOM_LOAD));
		return available ? started : candidates;
	}

}
