package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

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

	// The request to each member whose replies count.
	private final Map<String, Listener> latest = new HashMap<>();

	private boolean ended;

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
		this.client.callStarted(this);
		sendMissing();
	}

	final void end() {
		this.ended = true;
		this.client.callEnded(this);
	}

	// Whether a member that was asked has not answered yet.
	final boolean isWaiting() {
		return !this.outstanding.isEmpty();
	}

	// Asks all members once more; replies to earlier requests no longer count.
	final void repeat() {
		repeat((disk) -> true);
	}

	// Asks some members once more; replies of theirs to earlier requests no longer count.
	final void repeat(Predicate<String> disks) {
		this.latest.keySet().removeIf(disks);
		this.finished.removeIf(disks);
		this.outstanding.removeIf(disks);
		sendMissing();
	}

	final void sendMissing() {
		for (Member m : targets()) {
			Optional<KeeperLink> link = this.client.link(m);
			boolean idle = !this.finished.contains(m.getDisk()) && !this.outstanding.contains(m.getDisk());
			if (!this.ended && idle && link.isPresent()) {
				this.outstanding.add(m.getDisk());
				Listener listener = new Listener(m, link.get());
				this.latest.put(m.getDisk(), listener);
				link.get().send(request(m).setEpoch(view().epoch()), listener);
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

		private Listener(Member member, KeeperLink link) {
			this.member = member;
			this.link = link;
		}

		@Override
		public void replied(Reply reply) {
			GroupCall call = GroupCall.this;
			if (!isLatest()) {
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
					call.client.sendView(this.link);
				}
				default -> {
					// A keeper whose disk failed takes no part in this call.
					call.outstanding.remove(this.member.getDisk());
					call.finished.add(this.member.getDisk());
				}
			}
		}

		@Override
		public void connectionLost() {
			if (isLatest()) {
				GroupCall.this.outstanding.remove(this.member.getDisk());
			}
		}

		private boolean isLatest() {
			return GroupCall.this.latest.get(this.member.getDisk()) == this;
		}

	}

}
