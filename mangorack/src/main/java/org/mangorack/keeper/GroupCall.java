package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;

/**
 * A call to all members of the group.
 */
abstract class GroupCall {

	private final Set<String> outstanding = new HashSet<>();

	private final Set<String> finished = new HashSet<>();

	private final KeeperClient client;

	private final long startedAt;

	private final long limit;

	private boolean ended;

	private int round;

	GroupCall(KeeperClient client, Duration limit) {
		this.client = client;
		this.startedAt = client.now();
		this.limit = limit.toNanos();
	}

	final KeeperClient client() {
		return this.client;
	}

	final GroupView view() {
		return this.client.view();
	}

	final void start() {
		this.client.began(this);
		sendMissing();
	}

	final void end() {
		this.ended = true;
		this.client.ended(this);
	}

	// Whether a member that was asked has not answered yet.
	final boolean isWaiting() {
		return !this.outstanding.isEmpty();
	}

	// Asks all members once more; replies to earlier requests no longer count.
	final void repeat() {
		this.round++;
		this.finished.clear();
		this.outstanding.clear();
		sendMissing();
	}

	final void sendMissing() {
		for (Member m : targets()) {
			Optional<KeeperLink> link = this.client.link(m);
			boolean idle = !this.finished.contains(m.getDisk()) && !this.outstanding.contains(m.getDisk());
			if (!this.ended && idle && link.isPresent()) {
				this.outstanding.add(m.getDisk());
				link.get().send(request(m).setEpoch(view().epoch()), new Listener(m, link.get()));
			}
		}
	}

	final void check(long now) {
		if (now - this.startedAt > this.limit) {
			end();
			expired();
			return;
		}
		waited(Duration.ofNanos(now - this.startedAt));
	}

	// Returns the members to ask at present.
	List<Member> targets() {
		return view().all();
	}

	// Makes the request to a member.
	abstract Request.Builder request(Member member);

	// Handles an accepted request.
	abstract void accepted(Member member, Reply reply);

	// Handles an accepted request whose reply came after the call had ended.
	void acceptedLate(Member member, Reply reply) {
	}

	// Runs when the time of the call is over.
	abstract void expired();

	// Runs now and then while the call waits.
	void waited(Duration time) {
	}

	/**
	 * Handles the replies of one member.
	 */
	private final class Listener implements ReplyListener {

		private final Member member;

		private final KeeperLink link;

		private final int sentIn = GroupCall.this.round;

		private Listener(Member member, KeeperLink link) {
			this.member = member;
			this.link = link;
		}

		@Override
		public void replied(Reply reply) {
			GroupCall call = GroupCall.this;
			if (this.sentIn != call.round) {
				return;
			}
			switch (reply.getStatus()) {
				case OK -> {
					if (reply.getDurable()) {
						call.outstanding.remove(this.member.getDisk());
						call.finished.add(this.member.getDisk());
					}
					if (call.ended) {
						acceptedLate(this.member, reply);
					}
					else {
						accepted(this.member, reply);
					}
				}
				case STALE_VIEW -> {
					call.outstanding.remove(this.member.getDisk());
					call.client.adoptView(reply);
					sendMissing();
				}
				case UNKNOWN_VIEW -> {
					call.outstanding.remove(this.member.getDisk());
					call.client.introduceView(this.link);
				}
				default -> {
					// A keeper whose disk failed takes no part in this call.
					call.outstanding.remove(this.member.getDisk());
					call.finished.add(this.member.getDisk());
				}
			}
		}

		@Override
		public void broke() {
			if (this.sentIn == GroupCall.this.round) {
				GroupCall.this.outstanding.remove(this.member.getDisk());
			}
		}

	}

}
