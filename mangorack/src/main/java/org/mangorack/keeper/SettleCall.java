package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Settle;

/**
 * Settles a charge and stores a turn. The turn is sent to the preferred members first,
 * the charge to all members. A member confirms a turn only once it also holds all
 * predecessors, which are sent to it as far as it lacks them. So each member that
 * confirmed a turn can serve its whole chain, and retains the chain as long as the turn.
 */
final class SettleCall extends GroupCall {

	/**
	 * The size in bytes of the predecessors that one message may hold. A longer message
	 * would delay heartbeats and other calls on the same link.
	 */
	static final int MAX_BATCH_BYTES = 256 * 1024;

	private final String program;

	private final Settle.Builder settle;

	private final ChainedTurn turn;

	private final Consumer<Boolean> done;

	private final Set<String> turnSentTo = new HashSet<>();

	private final Set<String> synced = new HashSet<>();

	// By disk: the newest predecessor that the member lacks.
	private final Map<String, String> missingPredecessors = new HashMap<>();

	private boolean reported;

	private boolean widened;

	SettleCall(KeeperClient client, ProgramAttempt attempt, int tokens, boolean charged, ChainedTurn turn,
			Consumer<Boolean> done) {
		super(client, KeeperClient.SETTLE_TIMEOUT);
		this.program = attempt.program();
		this.turn = turn;
		this.done = done;
		this.settle = Settle.newBuilder()
			.setProgram(attempt.program())
			.setAttempt(attempt.attempt())
			.setTokens(tokens)
			.setCharged(charged)
			.setRetentionMs(attempt.retention().toMillis());
	}

	@Override
	List<Member> targets() {
		return this.settle.getCharged() ? super.targets() : turnReplicas();
	}

	private List<Member> turnReplicas() {
		boolean all = this.widened || view().isChanging() || (this.turn == null);
		return all ? client().rankMembers(this.program) : client().preferredMembers(this.program);
	}

	@Override
	Request.Builder request(Member member) {
		String missing = this.missingPredecessors.get(member.getDisk());
		if (missing != null) {
			return Request.newBuilder()
				.setSettle(Settle.newBuilder().addAllPredecessor(this.turn.predecessorsFrom(missing, MAX_BATCH_BYTES)));
		}
		Settle.Builder message = this.settle.clone();
		if ((this.turn != null) && turnReplicas().contains(member)) {
			this.turnSentTo.add(member.getDisk());
		}
		// A member that refused the turn under an older view counts as a replica once it
		// accepts, so it must be sent the turn again even if it is not a preferred
		// member in the newer view.
		if (this.turnSentTo.contains(member.getDisk())) {
			message.setTurn(this.turn.turn());
		}
		return Request.newBuilder().setSettle(message);
	}

	@Override
	void accepted(Member member, Reply reply) {
		if (!reply.getDurable()) {
			return;
		}
		String missing = reply.getMissingPredecessor();
		if (isAbleToSend(missing)) {
			this.missingPredecessors.put(member.getDisk(), missing);
			repeat((disk) -> disk.equals(member.getDisk()));
			return;
		}
		if ((this.turn == null) || (this.turnSentTo.contains(member.getDisk()) && missing.isEmpty())) {
			this.synced.add(member.getDisk());
		}
		if (!this.reported && view().isWriteQuorum(this.synced)) {
			this.reported = true;
			this.done.accept(true);
		}
		if (this.reported && ((this.turn != null) || view().isMajority(this.synced))) {
			end();
		}
	}

	private boolean isAbleToSend(String predecessor) {
		return (this.turn != null) && !this.turn.predecessorsFrom(predecessor, MAX_BATCH_BYTES).isEmpty();
	}

	@Override
	void waited(Duration time) {
		if (!this.widened && (this.turn != null) && (time.compareTo(KeeperClient.HEDGE_DELAY.multipliedBy(2)) > 0)) {
			this.widened = true;
			repeat((disk) -> !this.turnSentTo.contains(disk));
		}
	}

	@Override
	void expired() {
		if (!this.reported) {
			this.done.accept(false);
		}
	}

}
