package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangorack.keeper.proto.Chain;
import org.mangorack.keeper.proto.Fetch;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Turn;

/**
 * Reads a chain of turns. Asks one preferred member first, and all members once that
 * reply is incomplete or late.
 */
final class FetchCall extends GroupCall {

	private final ChainListener listener;

	private final List<Turn> chain = new ArrayList<>();

	// The members that lack the next turn, all under the view of this epoch. A change may
	// copy the turn to a member that lacked it before.
	private final Set<String> confirmedAbsent = new HashSet<>();

	private long epoch;

	private final String firstDisk;

	private String nextTurn;

	private boolean widened;

	FetchCall(KeeperClient client, String program, String turn, ChainListener listener) {
		super(client, KeeperClient.CALL_TIMEOUT);
		this.nextTurn = turn;
		this.listener = listener;
		this.epoch = client.view().epoch();
		this.firstDisk = client.preferredMembers(program)
			.stream()
			.filter((m) -> client.link(m).isPresent())
			.min(Comparator.comparing((m) -> !m.getZone().equals(client.dataCentre())))
			.map(Member::getDisk)
			.orElse("");
		this.widened = this.firstDisk.isEmpty();
	}

	@Override
	List<Member> targets() {
		List<Member> all = super.targets();
		return this.widened ? all : all.stream().filter((m) -> m.getDisk().equals(this.firstDisk)).toList();
	}

	@Override
	Request.Builder request(Member member) {
		return Request.newBuilder().setFetch(Fetch.newBuilder().setTurn(this.nextTurn));
	}

	@Override
	void accepted(Member member, Reply reply) {
		Chain part = reply.getChain();
		boolean progress = (part.getTurnCount() > 0) && part.getTurn(0).getId().equals(this.nextTurn);
		if (progress) {
			this.chain.addAll(part.getTurnList());
			this.nextTurn = part.getMissing();
			this.confirmedAbsent.clear();
		}
		if (this.nextTurn.isEmpty()) {
			end();
			this.listener.found(this.chain);
			return;
		}
		if (view().epoch() != this.epoch) {
			askAgain();
			return;
		}
		if (part.getComplete() && part.getMissing().equals(this.nextTurn)) {
			this.confirmedAbsent.add(member.getDisk());
		}
		if (view().isAbsenceQuorum(this.confirmedAbsent)) {
			end();
			this.listener.absent(Set.copyOf(this.confirmedAbsent), view());
			return;
		}
		if (progress) {
			this.widened = true;
			repeat();
		}
		else if (!this.widened) {
			this.widened = true;
			sendMissing();
		}
	}

	private void askAgain() {
		this.epoch = view().epoch();
		this.confirmedAbsent.clear();
		this.widened = true;
		repeat();
	}

	@Override
	void waited(Duration time) {
		if ((view().epoch() != this.epoch) && !this.confirmedAbsent.isEmpty()) {
			askAgain();
		}
		else if (!this.widened && (time.compareTo(KeeperClient.HEDGE_DELAY) > 0)) {
			this.widened = true;
			sendMissing();
		}
	}

	@Override
	void expired() {
		this.listener.undetermined("turn " + this.nextTurn + " was looked for at " + this.confirmedAbsent.size()
				+ " of " + view().members().size() + " keepers");
	}

}
