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
 * Sends a request to the members of the group, repeats it where needed and collects the
 * replies until a subclass ends the call or it times out.
 */
abstract class GroupCall {

	private final Set<String> outstanding = new HashSet<>();

	private final Set<String> finished = new HashSet<>();

	private final KeeperClient client;

	private final long startedAt;

	private final long timeoutNanos;

	// The listener of the last request to each member; replies to earlier requests are
	// ignored.
	private final Map<String, Listener> latestRequests = new HashMap<>();

	// By disk: whether it belonged to a member when the latest request was sent.
	private final Map<String, Boolean> sentToMember = new HashMap<>();

	private boolean ended;

	GroupCall(KeeperClient client, Duration timeout) {
		this.client = client;
		this.startedAt = client.now();
		this.timeoutNanos = timeout.toNanos();
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

	// Returns whether any request is still unanswered.
	final boolean isWaiting() {
		return !this.outstanding.isEmpty();
	}

	// Sends the request to all members again; replies to earlier requests are ignored.
	final void repeat() {
		repeat((disk) -> true);
	}

	// Sends the request to some members again; their replies to earlier requests are
	// ignored.
	final void repeat(Predicate<String> disks) {
		this.latestRequests.keySet().removeIf(disks);
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
				this.latestRequests.put(m.getDisk(), listener);
				this.sentToMember.put(m.getDisk(), view().isMember(m.getDisk()));
				link.get().send(request(m).setEpoch(view().epoch()), listener);
			}
		}
	}

	/**
	 * Returns whether the latest request to a disk was sent to a current member. A disk
	 * that was still joining may have replied without data that members hold.
	 * @param disk the disk
	 * @return {@code true} if it belonged to a current member of the view at that time
	 */
	final boolean wasSentToMember(String disk) {
		return this.sentToMember.getOrDefault(disk, false);
	}

	final void check(long now) {
		if (now - this.startedAt > this.timeoutNanos) {
			end();
			expired();
			return;
		}
		waited(Duration.ofNanos(now - this.startedAt));
	}

	// Returns the members that the request currently goes to.
	List<Member> targets() {
		return view().all();
	}

	// Creates the request for a member.
	abstract Request.Builder request(Member member);

	// Handles a successful reply. A request may have two, the second one durable.
	abstract void accepted(Member member, Reply reply);

	// Handles a successful reply that arrives after the call has ended.
	void acceptedLate(Member member, Reply reply) {
	}

	// Called when the call has timed out.
	abstract void expired();

	// Called periodically while the call waits for replies.
	void waited(Duration time) {
	}

	/**
	 * Handles the replies of one member to one request.
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
				case WRONG_DISK -> {
					call.outstanding.remove(this.member.getDisk());
					call.finished.add(this.member.getDisk());
					call.client.adoptView(reply);
					call.client.markReplaced(this.member);
				}
				default -> {
					// A keeper that reports a failure is not asked again by this call.
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
			return GroupCall.this.latestRequests.get(this.member.getDisk()) == this;
		}

	}

}
