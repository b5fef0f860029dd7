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
 * A call taken from the bucket of a workspace at a majority of the members.
 */
final class DrawCall extends GroupCall {

	private final Draw draw;

	private final Consumer<Duration> done;

	private final Set<String> granted = new HashSet<>();

	private final Set<String> denied = new HashSet<>();

	private long retryMs;

	DrawCall(KeeperClient client, Draw draw, Consumer<Duration> done) {
		super(client, KeeperClient.DRAW_LIMIT);
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
			end();
			this.done.accept(Duration.ZERO);
		}
		else if (!isWaiting() && !this.denied.isEmpty()) {
			end();
			this.done.accept(Duration.ofMillis(Math.max(1, this.retryMs)));
		}
	}

	@Override
	void expired() {
		this.done.accept(null);
	}

}
