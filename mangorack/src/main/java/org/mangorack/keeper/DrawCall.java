package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;

/**
 * Takes one call from the token bucket of a workspace at a majority of the members.
 * Members that decided otherwise than the majority are corrected afterwards. Without the
 * correction, a token granted by a minority would be lost, and a keeper that denied a
 * granted call would have one token too many for later calls.
 */
final class DrawCall extends GroupCall {

	private final Draw draw;

	private final Consumer<Duration> done;

	private final Set<String> granted = new HashSet<>();

	private final Set<String> denied = new HashSet<>();

	private long retryMs;

	private boolean allowed;

	DrawCall(KeeperClient client, Draw draw, Consumer<Duration> done) {
		super(client, KeeperClient.DRAW_TIMEOUT);
		this.draw = draw;
		this.done = done;
	}

	@Override
	Request.Builder request(Member member) {
		return Request.newBuilder().setDraw(this.draw);
	}

	@Override
	void accepted(Member member, Reply reply) {
		boolean ok = reply.getDrawn().getGranted();
		(ok ? this.granted : this.denied).add(member.getDisk());
		this.retryMs = Math.max(this.retryMs, reply.getDrawn().getRetryMs());
		GroupView v = view();
		if (v.isMajority(this.granted)) {
			this.allowed = true;
			end();
			correctAll(this.denied);
			this.done.accept(Duration.ZERO);
		}
		else if (!isWaiting() && !this.denied.isEmpty()) {
			end();
			correctAll(this.granted);
			this.done.accept(Duration.ofMillis(Math.max(1, this.retryMs)));
		}
	}

	@Override
	void acceptedLate(Member member, Reply reply) {
		if (reply.getDrawn().getGranted() != this.allowed) {
			correct(member);
		}
	}

	@Override
	void expired() {
		correctAll(this.granted);
		this.done.accept(null);
	}

	private void correctAll(Set<String> disks) {
		view().all().stream().filter((m) -> disks.contains(m.getDisk())).forEach(this::correct);
	}

	private void correct(Member member) {
		client().sendOneWay(member,
				Request.newBuilder().setDraw(this.draw.toBuilder().setCorrection(this.allowed ? 1 : -1)));
	}

}
