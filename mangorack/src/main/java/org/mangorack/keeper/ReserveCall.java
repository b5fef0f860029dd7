package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Reserve;

/**
 * Reserves tokens of a budget. The request is sent to all members and needs a majority,
 * so that any two reservations of a program have a member in common.
 */
final class ReserveCall extends GroupCall {

	private final ProgramAttempt attempt;

	private final Charge charge;

	private final long budget;

	private final ReservationListener listener;

	private final BudgetLedger ledger = new BudgetLedger();

	private final Set<String> acknowledged = new HashSet<>();

	private final Set<String> synced = new HashSet<>();

	// Disks that replied while they were joining, so that their replies may lack charges.
	private final Set<String> repliedWhileJoining = new HashSet<>();

	private boolean reread;

	private boolean granted;

	ReserveCall(KeeperClient client, ProgramAttempt attempt, int tokens, long budget, ReservationListener listener) {
		super(client, KeeperClient.CALL_TIMEOUT);
		this.attempt = attempt;
		this.charge = Charge.newBuilder().setAttempt(attempt.attempt()).setTokens(tokens).build();
		this.budget = budget;
		this.listener = listener;
	}

	@Override
	Request.Builder request(Member member) {
		return Request.newBuilder()
			.setReserve(Reserve.newBuilder()
				.setProgram(this.attempt.program())
				.setAttempt(this.charge.getAttempt())
				.setTokens(this.charge.getTokens())
				.setRetentionMs(this.attempt.retention().toMillis()));
	}

	@Override
	void accepted(Member member, Reply reply) {
		reply.getCharges().getChargeList().forEach(this.ledger::merge);
		this.acknowledged.add(member.getDisk());
		if (reply.getDurable()) {
			this.synced.add(member.getDisk());
		}
		if (!wasSentToMember(member.getDisk())) {
			this.repliedWhileJoining.add(member.getDisk());
		}
		askNewMembersAgain();
		if (!this.granted && view().isMajority(this.acknowledged)) {
			decide();
		}
		if (this.granted && view().isMajority(this.synced)) {
			end();
			this.listener.durable();
		}
	}

	@Override
	void waited(Duration time) {
		askNewMembersAgain();
	}

	// Until a disk has become a member, its replies only count towards the next members.
	private void askNewMembersAgain() {
		Set<String> joined = new HashSet<>(this.repliedWhileJoining);
		joined.removeIf((disk) -> !view().isMember(disk));
		if (!this.granted && !joined.isEmpty()) {
			this.repliedWhileJoining.removeAll(joined);
			this.acknowledged.removeAll(joined);
			repeat(joined::contains);
		}
	}

	private void decide() {
		long used = this.ledger.tokensExcluding(this.charge.getAttempt());
		long tokens = this.charge.getTokens();
		if (used + tokens > this.budget) {
			end();
			client().settle(this.attempt, 0, true, null, (done) -> {
			});
			this.listener.budgetExceeded(used);
		}
		else if (!this.reread && (used + (tokens * KeeperClient.REREAD_MARGIN_TURNS) > this.budget)) {
			this.reread = true;
			this.acknowledged.clear();
			this.synced.clear();
			repeat();
		}
		else {
			this.granted = true;
			this.listener.granted();
		}
	}

	@Override
	void expired() {
		this.listener.unavailable("the budget was confirmed by " + this.acknowledged.size() + " of "
				+ view().members().size() + " keepers");
	}

}
