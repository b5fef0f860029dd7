package org.mangorack.keeper;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.zip.CRC32C;

import io.netty.channel.EventLoop;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Adopt;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Chain;
import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.Fetch;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Reserve;
import org.mangorack.keeper.proto.Settle;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.MonotonicClock;

/**
 * Talks to the group of keepers for an entry. A call goes on while members come and go,
 * until enough of them answered or its time is over. Used by the thread of its event loop
 * only.
 */
public final class KeeperClient {

	/**
	 * How long a call waits for enough keepers. Longer than keepers that are all killed
	 * take to be back.
	 */
	static final Duration CALL_LIMIT = Duration.ofMillis(1800);

	/**
	 * How long a settlement is offered to members that did not take it yet.
	 */
	static final Duration SETTLE_LIMIT = Duration.ofSeconds(6);

	/**
	 * How long a bucket is asked for: a call that cannot be counted is refused soon, so
	 * that its caller may turn to another entry.
	 */
	static final Duration DRAW_LIMIT = Duration.ofMillis(500);

	/**
	 * How long the first choice may take before others are asked as well: a few times the
	 * round trip between data centres and a sync.
	 */
	static final Duration HEDGE_DELAY = Duration.ofMillis(40);

	/**
	 * A budget is read again after the reservation if it does not hold this many more
	 * turns of the same size, as that many concurrent ones may have been missed.
	 */
	static final int UNSEEN_TURNS = 8;

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final String zone;

	private final Map<String, KeeperLink> links = new HashMap<>();

	private final Set<GroupCall> calls = new HashSet<>();

	private GroupView view;

	private Consumer<GroupView> onView = (v) -> {
	};

	/**
	 * Creates a client that knows no keeper yet.
	 * @param loop the event loop that calls and answers run on
	 * @param clock the time source
	 * @param zone the data centre of this instance, whose keepers are asked first
	 * @param tolerance how many disks may be lost at once
	 */
	public KeeperClient(EventLoop loop, MonotonicClock clock, String zone, int tolerance) {
		this.loop = loop;
		this.clock = clock;
		this.zone = zone;
		this.view = GroupView.unknown(tolerance);
		loop.scheduleWithFixedDelay(new GuardedTask("keeper calls", this::check), CHECK_INTERVAL.toMillis(),
				CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	// ---- Configuration

	/**
	 * Sets what is told of newer views.
	 * @param listener receives each view that is adopted
	 */
	public void setViewListener(Consumer<GroupView> listener) {
		this.onView = listener;
	}

	/**
	 * Uses a view if it is newer than the present one.
	 * @param newer the view
	 */
	public void adopt(GroupView newer) {
		if (newer.epoch() <= this.view.epoch()) {
			return;
		}
		EventLog.log(Event.GROUP_VIEW, "epoch", newer.epoch(), "members", names(newer.members()), "next",
				names(newer.next()), "before", this.view.epoch());
		this.view = newer;
		Set<String> wanted = new HashSet<>();
		newer.all().forEach((m) -> {
			wanted.add(m.getDisk());
			this.links.computeIfAbsent(m.getDisk(), (disk) -> {
				KeeperLink link = new KeeperLink(this.loop, m, this.clock, this::sendMissing);
				this.loop.execute(link::connect);
				return link;
			});
		});
		this.links.values().removeIf((link) -> {
			boolean unwanted = !wanted.contains(link.member().getDisk());
			if (unwanted) {
				link.close();
			}
			return unwanted;
		});
		this.onView.accept(newer);
		sendMissing();
	}

	// ---- Accessors

	/**
	 * Returns the view in use.
	 * @return the view
	 */
	public GroupView view() {
		return this.view;
	}

	/**
	 * Tells whether enough keepers are connected to serve calls.
	 * @return {@code true} if the connected members are a majority
	 */
	public boolean isServing() {
		Set<String> up = new HashSet<>();
		this.links.forEach((disk, link) -> {
			if (link.isUp()) {
				up.add(disk);
			}
		});
		return this.view.isMajority(up);
	}

	// ---- Public API

	/**
	 * Reserves tokens of a program's budget.
	 * @param program the program
	 * @param attempt the attempt, unique within the program
	 * @param tokens the most that the attempt may use
	 * @param budget the tokens of the whole program
	 * @param listener receives the outcome
	 */
	public void reserve(String program, String attempt, int tokens, long budget, ReservationListener listener) {
		new ReserveCall(program, attempt, tokens, budget, listener).start();
	}

	/**
	 * Settles a charge and keeps a turn. Members that do not answer are asked again for
	 * some seconds, also after the outcome was reported.
	 * @param program the program
	 * @param attempt the attempt
	 * @param tokens what it used
	 * @param charged whether it had a reservation
	 * @param turn the turn, or {@code null} if it did not end whole
	 * @param done receives whether turn and charge outlive a loss of power
	 */
	public void settle(String program, String attempt, int tokens, boolean charged, Turn turn, Consumer<Boolean> done) {
		new SettleCall(program, attempt, tokens, charged, turn, done).start();
	}

	/**
	 * Reads a chain of turns.
	 * @param program the program that asks, whose turns lie together
	 * @param turn the newest turn of the chain
	 * @param listener receives the outcome
	 */
	public void fetch(String program, String turn, ChainListener listener) {
		new FetchCall(program, turn, listener).start();
	}

	/**
	 * Takes one call from the bucket of a workspace.
	 * @param draw the call
	 * @param done receives the time to come back, zero if the call was granted, or
	 * {@code null} if too few keepers answered
	 */
	public void draw(Draw draw, Consumer<Duration> done) {
		new DrawCall(draw, done).start();
	}

	/**
	 * Sends a beat to every connected member.
	 * @param beat makes the beat of a member from its disk
	 * @param pulse receives the answer of a member
	 */
	public void beat(Function<String, Beat> beat, BiConsumer<Member, Pulse> pulse) {
		for (KeeperLink link : List.copyOf(this.links.values())) {
			if (!link.isUp()) {
				continue;
			}
			Request.Builder request = Request.newBuilder()
				.setEpoch(this.view.epoch())
				.setBeat(beat.apply(link.member().getDisk()));
			link.send(request, new ReplyListener() {
				@Override
				public void replied(Reply reply) {
					if (reply.hasView()) {
						adopt(GroupView.of(reply.getView(), KeeperClient.this.view.tolerance()));
					}
					pulse.accept(link.member(), reply.getPulse());
				}

				@Override
				public void broke() {
					// The link reports its own loss.
				}
			});
		}
	}

	/**
	 * Asks keepers at known addresses for the group, for a start without the platform.
	 * Does nothing once a group is known.
	 * @param seeds addresses of keepers, which may be wrong
	 * @param beat the beat to send
	 * @param pulse receives the answer of a keeper
	 */
	public void askSeeds(List<HttpAddress> seeds, Beat beat, Consumer<Pulse> pulse) {
		for (HttpAddress seed : seeds) {
			Member member = Member.newBuilder()
				.setName(seed.toString())
				.setHost(seed.host())
				.setPort(seed.port())
				.build();
			KeeperLink[] link = new KeeperLink[1];
			link[0] = new KeeperLink(this.loop, member, this.clock,
					() -> link[0].send(Request.newBuilder().setBeat(beat), new SeedReply(link[0], pulse)));
			link[0].connect();
			this.loop.schedule(link[0]::close, KeeperLink.SILENCE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	// ---- Helpers

	private void check() {
		this.links.values().forEach(KeeperLink::checkSilence);
		long now = this.clock.nanoTime();
		for (GroupCall call : List.copyOf(this.calls)) {
			call.check(now);
		}
	}

	private void sendMissing() {
		for (GroupCall call : List.copyOf(this.calls)) {
			call.sendMissing();
		}
	}

	private void introduceView(KeeperLink link) {
		Request.Builder request = Request.newBuilder().setAdopt(Adopt.newBuilder().setView(this.view.toProto()));
		link.send(request, new ReplyListener() {
			@Override
			public void replied(Reply reply) {
				sendMissing();
			}

			@Override
			public void broke() {
				// Calls are sent again once the link is up.
			}
		});
	}

	private static List<String> names(List<Member> members) {
		return members.stream().map(Member::getName).toList();
	}

	private List<Member> placement(String program) {
		List<Member> ranked = new ArrayList<>(this.view.all());
		ranked.sort(Comparator.comparingLong((m) -> weight(program, m.getDisk())));
		return ranked;
	}

	private static long weight(String key, String disk) {
		CRC32C crc = new CRC32C();
		crc.update((key + "|" + disk).getBytes(StandardCharsets.UTF_8));
		return crc.getValue();
	}

	/**
	 * Takes over what a seed says and closes the link to it.
	 */
	private final class SeedReply implements ReplyListener {

		private final KeeperLink link;

		private final Consumer<Pulse> pulse;

		private SeedReply(KeeperLink link, Consumer<Pulse> pulse) {
			this.link = link;
			this.pulse = pulse;
		}

		@Override
		public void replied(Reply reply) {
			if (reply.hasView()) {
				adopt(GroupView.of(reply.getView(), KeeperClient.this.view.tolerance()));
			}
			this.pulse.accept(reply.getPulse());
			this.link.close();
		}

		@Override
		public void broke() {
			this.link.close();
		}

	}

	/**
	 * A call to all members of the group.
	 */
	private abstract class GroupCall {

		private final Set<String> outstanding = new HashSet<>();

		private final Set<String> finished = new HashSet<>();

		private final long startedAt = KeeperClient.this.clock.nanoTime();

		private final long limit;

		private boolean ended;

		private int round;

		private GroupCall(Duration limit) {
			this.limit = limit.toNanos();
		}

		final void start() {
			KeeperClient.this.calls.add(this);
			sendMissing();
		}

		final void end() {
			this.ended = true;
			KeeperClient.this.calls.remove(this);
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
				KeeperLink link = KeeperClient.this.links.get(m.getDisk());
				boolean idle = !this.finished.contains(m.getDisk()) && !this.outstanding.contains(m.getDisk());
				if (!this.ended && idle && (link != null) && link.isUp()) {
					this.outstanding.add(m.getDisk());
					link.send(request(m).setEpoch(KeeperClient.this.view.epoch()), new Listener(m, link));
				}
			}
		}

		private void check(long now) {
			if (now - this.startedAt > this.limit) {
				end();
				expired();
				return;
			}
			waited(Duration.ofNanos(now - this.startedAt));
		}

		// Returns the members to ask at present.
		List<Member> targets() {
			return KeeperClient.this.view.all();
		}

		// Makes the request to a member.
		abstract Request.Builder request(Member member);

		// Handles an accepted request.
		abstract void accepted(Member member, Reply reply);

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
						if (!call.ended) {
							accepted(this.member, reply);
						}
					}
					case STALE_VIEW -> {
						call.outstanding.remove(this.member.getDisk());
						adopt(GroupView.of(reply.getView(), KeeperClient.this.view.tolerance()));
						sendMissing();
					}
					case UNKNOWN_VIEW -> {
						call.outstanding.remove(this.member.getDisk());
						introduceView(this.link);
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

	/**
	 * A reservation. It is offered to all members so that any two meet.
	 */
	private final class ReserveCall extends GroupCall {

		private final String program;

		private final Charge charge;

		private final long budget;

		private final ReservationListener listener;

		private final BudgetLedger seen = new BudgetLedger();

		private final Set<String> taken = new HashSet<>();

		private final Set<String> synced = new HashSet<>();

		private boolean readAgain;

		private boolean granted;

		private ReserveCall(String program, String attempt, int tokens, long budget, ReservationListener listener) {
			super(CALL_LIMIT);
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
			if (!this.granted && KeeperClient.this.view.isMajority(this.taken)) {
				decide();
			}
			if (this.granted && KeeperClient.this.view.isMajority(this.synced)) {
				end();
				this.listener.durable();
			}
		}

		private void decide() {
			long used = this.seen.tokensBeside(this.charge.getAttempt());
			long tokens = this.charge.getTokens();
			if (used + tokens > this.budget) {
				end();
				settle(this.program, this.charge.getAttempt(), 0, true, null, (done) -> {
				});
				this.listener.spent(used);
			}
			else if (!this.readAgain && (used + (tokens * UNSEEN_TURNS) > this.budget)) {
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
			this.listener.unavailable("the budget was confirmed by " + this.taken.size() + " of "
					+ KeeperClient.this.view.members().size() + " keepers");
		}

	}

	/**
	 * A settlement. The turn goes to some members first, the charge to all.
	 */
	private final class SettleCall extends GroupCall {

		private final String program;

		private final Settle.Builder settle;

		private final Turn turn;

		private final Consumer<Boolean> done;

		private final Set<String> holders = new HashSet<>();

		private final Set<String> synced = new HashSet<>();

		private boolean reported;

		private boolean widened;

		private SettleCall(String program, String attempt, int tokens, boolean charged, Turn turn,
				Consumer<Boolean> done) {
			super(SETTLE_LIMIT);
			this.program = program;
			this.turn = turn;
			this.done = done;
			this.settle = Settle.newBuilder()
				.setProgram(program)
				.setAttempt(attempt)
				.setTokens(tokens)
				.setCharged(charged);
		}

		@Override
		List<Member> targets() {
			return this.settle.getCharged() ? super.targets() : holders();
		}

		private List<Member> holders() {
			List<Member> ranked = placement(this.program);
			int copies = KeeperClient.this.view.tolerance() + 2;
			boolean all = this.widened || KeeperClient.this.view.isChanging();
			return (all || (this.turn == null)) ? ranked : ranked.subList(0, Math.min(copies, ranked.size()));
		}

		@Override
		Request.Builder request(Member member) {
			Settle.Builder one = this.settle.clone();
			if ((this.turn != null) && holders().contains(member)) {
				one.setTurn(this.turn);
				this.holders.add(member.getDisk());
			}
			return Request.newBuilder().setSettle(one);
		}

		@Override
		void accepted(Member member, Reply reply) {
			if (!reply.getDurable()) {
				return;
			}
			if ((this.turn == null) || this.holders.contains(member.getDisk())) {
				this.synced.add(member.getDisk());
			}
			if (!this.reported && KeeperClient.this.view.isDurable(this.synced)) {
				this.reported = true;
				this.done.accept(true);
			}
			if (this.reported && KeeperClient.this.view.isMajority(this.synced)
					|| (this.reported && (this.turn != null))) {
				end();
			}
		}

		@Override
		void waited(Duration time) {
			if (!this.widened && (this.turn != null) && (time.compareTo(HEDGE_DELAY.multipliedBy(2)) > 0)) {
				this.widened = true;
				repeat();
			}
		}

		@Override
		void expired() {
			if (!this.reported) {
				this.done.accept(false);
			}
		}

	}

	/**
	 * The search for a chain: one member first, then all.
	 */
	private final class FetchCall extends GroupCall {

		private final ChainListener listener;

		private final List<Turn> chain = new ArrayList<>();

		private final Set<String> without = new HashSet<>();

		private final String first;

		private String wanted;

		private boolean widened;

		private FetchCall(String program, String turn, ChainListener listener) {
			super(CALL_LIMIT);
			this.wanted = turn;
			this.listener = listener;
			int copies = KeeperClient.this.view.tolerance() + 2;
			this.first = placement(program).stream()
				.limit(copies)
				.filter((m) -> isUp(m))
				.min(Comparator.comparing((m) -> !m.getZone().equals(KeeperClient.this.zone)))
				.map(Member::getDisk)
				.orElse("");
			this.widened = this.first.isEmpty();
		}

		private boolean isUp(Member m) {
			KeeperLink link = KeeperClient.this.links.get(m.getDisk());
			return (link != null) && link.isUp();
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
			if (KeeperClient.this.view.isExhaustive(this.without)) {
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
			if (!this.widened && (time.compareTo(HEDGE_DELAY) > 0)) {
				this.widened = true;
				sendMissing();
			}
		}

		@Override
		void expired() {
			this.listener.uncertain("turn " + this.wanted + " was looked for at " + this.without.size() + " of "
					+ KeeperClient.this.view.members().size() + " keepers");
		}

	}

	/**
	 * A call taken from the bucket of a workspace at a majority of the members.
	 */
	private final class DrawCall extends GroupCall {

		private final Draw draw;

		private final Consumer<Duration> done;

		private final Set<String> granted = new HashSet<>();

		private final Set<String> denied = new HashSet<>();

		private long retryMs;

		private DrawCall(Draw draw, Consumer<Duration> done) {
			super(DRAW_LIMIT);
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
			GroupView v = KeeperClient.this.view;
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

}
