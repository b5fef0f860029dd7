package org.mangorack.keeper;

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

	private final String program;

	private final Charge charge;

	private final long budget;

	private final ReservationListener listener;

	private final BudgetLedger seen = new BudgetLedger();

	private final Set<String> taken = new HashSet<>();

	private final Set<String> synced = new HashSet<>();

	private boolean readAgain;

	private boolean granted;

	ReserveCall(KeeperClient client, String program, String attempt, int tokens, long budget,
			ReservationListener listener) {
		super(client, KeeperClient.CALL_LIMIT);
		this.program = program;
		this.charge = Charge.newBuilder().setAttempt(attempt).setTokens(tokens).build();
		this.budget = budget;
		this.listener = listener;
	}

	@Override
	Request.Builder request(Member member) {
		return Request.newBuilder()
			.setReserve(Reserve.newBuilder()
				.setProgram(this.program)
				.setAttempt(this.charge.getAttempt())
				.setTokens(this.charge.getTokens()));
	}

	@Override
	void accepted(Member member, Reply reply) {
		reply.getCharges().getChargeList().forEach(this.seen::merge);
		this.taken.add(member.getDisk());
		if (reply.getDurable()) {
			this.synced.add(member.getDisk());
		}
		if (!this.granted && view().isMajority(this.taken)) {
			decide();
		}
		if (this.granted && view().isMajority(this.synced)) {
			end();
			this.listener.durable();
		}
	}

	private void decide() {
		long used = this.seen.tokensBeside(this.charge.getAttempt());
		long tokens = this.charge.getTokens();
		if (used + tokens > this.budget) {
			end();
			client().settle(this.program, this.charge.getAttempt(), 0, true, null, (done) -> {
			});
			this.listener.spent(used);
		}
		else if (!this.readAgain && (used + (tokens * KeeperClient.UNSEEN_TURNS) > this.budget)) {
			this.readAgain = true;
			this.taken.clear();
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
		this.listener.unavailable(
				"the budget was confirmed by " + this.taken.size() + " of " + view().members().size() + " keepers");
	}

}
