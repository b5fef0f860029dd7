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

	private final Set<String> without = new HashSet<>();

	private final String first;

	private String wanted;

	private boolean widened;

	FetchCall(KeeperClient client, String program, String turn, ChainListener listener) {
		super(client, KeeperClient.CALL_LIMIT);
		this.wanted = turn;
		this.listener = listener;
		this.first = client.holders(program)
			.stream()
			.filter((m) -> client.link(m).isPresent())
			.min(Comparator.comparing((m) -> !m.getZone().equals(client.dataCentre())))
			.map(Member::getDisk)
			.orElse("");
		this.widened = this.first.isEmpty();
	}

	@Override
	List<Member> targets() {
		List<Member> all = super.targets();
		return this.widened ? all : all.stream().filter((m) -> m.getDisk().equals(this.first)).toList();
	}

	@Override
	Request.Builder request(Member member) {
		return Request.newBuilder().setFetch(Fetch.newBuilder().setTurn(this.wanted));
	}

	@Override
	void accepted(Member member, Reply reply) {
		Chain part = reply.getChain();
		boolean progress = (part.getTurnCount() > 0) && part.getTurn(0).getId().equals(this.wanted);
		if (progress) {
			this.chain.addAll(part.getTurnList());
			this.wanted = part.getMissing();
			this.without.clear();
		}
		if (this.wanted.isEmpty()) {
			end();
			this.listener.found(this.chain);
			return;
		}
		if (part.getComplete() && part.getMissing().equals(this.wanted)) {
			this.without.add(member.getDisk());
		}
		if (view().isExhaustive(this.without)) {
			end();
			this.listener.absent();
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

	@Override
	void waited(Duration time) {
		if (!this.widened && (time.compareTo(KeeperClient.HEDGE_DELAY) > 0)) {
			this.widened = true;
			sendMissing();
		}
	}

	@Override
	void expired() {
		this.listener.uncertain("turn " + this.wanted + " was looked for at " + this.without.size() + " of "
				+ view().members().size() + " keepers");
	}

}
