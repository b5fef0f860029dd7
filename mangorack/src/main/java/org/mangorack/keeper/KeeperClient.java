package org.mangorack.keeper;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.zip.CRC32C;

import io.netty.channel.EventLoop;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Adopt;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.FetchConfiguration;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
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

	private final String dataCentre;

	private final Map<String, KeeperLink> links = new HashMap<>();

	private final Set<GroupCall> calls = new HashSet<>();

	private GroupView view;

	private Consumer<GroupView> onView = (v) -> {
	};

	private Runnable onConnected = () -> {
	};

	/**
	 * Creates a client that knows no keeper yet.
	 * @param loop the event loop that calls and answers run on
	 * @param clock the time source
	 * @param dataCentre the data centre of this instance, whose keepers are asked first
	 * @param tolerance how many disks may be lost at once
	 */
	public KeeperClient(EventLoop loop, MonotonicClock clock, String dataCentre, int tolerance) {
		this.loop = loop;
		this.clock = clock;
		this.dataCentre = dataCentre;
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
	 * Sets what is told of connections.
	 * @param listener runs after a member of the group was connected
	 */
	public void setConnectionListener(Runnable listener) {
		this.onConnected = listener;
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
				KeeperLink link = new KeeperLink(this.loop, m, this.clock, this::memberConnected);
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

	/**
	 * Uses the view that a reply names, if it names one that is newer.
	 * @param reply the reply
	 */
	void adoptView(Reply reply) {
		if (reply.hasView()) {
			adopt(GroupView.of(reply.getView(), this.view.tolerance()));
		}
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
	 * Returns the members that are connected.
	 * @return the members whose links are up
	 */
	public List<Member> connectedMembers() {
		return this.links.values().stream().filter(KeeperLink::isUp).map(KeeperLink::member).toList();
	}

	/**
	 * Tells whether enough keepers are connected to serve calls.
	 * @return {@code true} if the connected members are a majority
	 */
	public boolean isServing() {
		return this.view
			.isMajority(connectedMembers().stream().map(Member::getDisk).collect(Collectors.toUnmodifiableSet()));
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
		new ReserveCall(this, program, attempt, tokens, budget, listener).start();
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
		new SettleCall(this, program, attempt, tokens, charged, turn, done).start();
	}

	/**
	 * Reads a chain of turns.
	 * @param program the program that asks, whose turns lie together
	 * @param turn the newest turn of the chain
	 * @param listener receives the outcome
	 */
	public void fetch(String program, String turn, ChainListener listener) {
		new FetchCall(this, program, turn, listener).start();
	}

	/**
	 * Takes one call from the bucket of a workspace.
	 * @param draw the call
	 * @param done receives the time to come back, zero if the call was granted, or
	 * {@code null} if too few keepers answered
	 */
	public void draw(Draw draw, Consumer<Duration> done) {
		new DrawCall(this, draw, done).start();
	}

	/**
	 * Sends a beat to every connected member.
	 * @param beat makes the beat of a member from its disk
	 * @param listener receives the answer of a member
	 */
	public void beat(Function<String, Beat> beat, PulseListener listener) {
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
					adoptView(reply);
					listener.heard(link.member(), reply.getPulse(), new LinkSource(link));
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
	 * @param listener receives the answer of a keeper
	 */
	public void askSeeds(List<HttpAddress> seeds, Beat beat, PulseListener listener) {
		for (HttpAddress seed : seeds) {
			Member member = Member.newBuilder()
				.setName(seed.toString())
				.setHost(seed.host())
				.setPort(seed.port())
				.build();
			KeeperLink[] link = new KeeperLink[1];
			link[0] = new KeeperLink(this.loop, member, this.clock,
					() -> link[0].send(Request.newBuilder().setBeat(beat), new SeedReply(link[0], listener)));
			link[0].connect();
			this.loop.schedule(link[0]::close, KeeperLink.SILENCE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	// ---- Services for calls

	void began(GroupCall call) {
		this.calls.add(call);
	}

	void ended(GroupCall call) {
		this.calls.remove(call);
	}

	long now() {
		return this.clock.nanoTime();
	}

	String dataCentre() {
		return this.dataCentre;
	}

	/**
	 * Finds the link to a member.
	 * @param member the member
	 * @return the link, or empty if there is none that is up
	 */
	Optional<KeeperLink> link(Member member) {
		return Optional.ofNullable(this.links.get(member.getDisk())).filter(KeeperLink::isUp);
	}

	/**
	 * Sends a request whose reply does not matter.
	 * @param member the member
	 * @param request the request
	 */
	void tell(Member member, Request.Builder request) {
		link(member).ifPresent((l) -> l.send(request.setEpoch(this.view.epoch()), ReplyListener.NONE));
	}

	// ---- Helpers

	private void check() {
		this.links.values().forEach(KeeperLink::checkSilence);
		long now = this.clock.nanoTime();
		for (GroupCall call : List.copyOf(this.calls)) {
			call.check(now);
		}
	}

	private void memberConnected() {
		sendMissing();
		this.onConnected.run();
	}

	private void sendMissing() {
		for (GroupCall call : List.copyOf(this.calls)) {
			call.sendMissing();
		}
	}

	/**
	 * Tells a keeper of the view in use and sends what waits for it.
	 * @param link the link to the keeper
	 */
	void introduceView(KeeperLink link) {
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

	/**
	 * Ranks the members for a program, so that its turns lie together.
	 * @param program the program
	 * @return all members
	 */
	List<Member> placement(String program) {
		List<Member> ranked = new ArrayList<>(this.view.all());
		ranked.sort(Comparator.comparingLong((m) -> weight(program, m.getDisk())));
		return ranked;
	}

	/**
	 * Returns the members that a turn is sent to first.
	 * @param program the program
	 * @return one more than have to sync it
	 */
	List<Member> holders(String program) {
		return placement(program).stream().limit(this.view.tolerance() + 2L).toList();
	}

	private static long weight(String key, String disk) {
		CRC32C crc = new CRC32C();
		crc.update((key + "|" + disk).getBytes(StandardCharsets.UTF_8));
		return crc.getValue();
	}

	/**
	 * Receives what keepers answer to beats.
	 */
	@FunctionalInterface
	public interface PulseListener {

		/**
		 * Reports the answer of a keeper.
		 * @param member the keeper
		 * @param pulse its answer
		 * @param source the keeper, for its configuration
		 */
		void heard(Member member, Pulse pulse, ConfigurationSource source);

	}

	/**
	 * Exchanges configuration documents on a link.
	 */
	private static class LinkSource implements ConfigurationSource {

		private final KeeperLink link;

		LinkSource(KeeperLink link) {
			this.link = link;
		}

		@Override
		public String name() {
			return this.link.member().getName();
		}

		@Override
		public void fetch(long known, Consumer<Optional<ConfigurationDocument>> done) {
			Request.Builder request = Request.newBuilder()
				.setFetchConfiguration(FetchConfiguration.newBuilder().setKnown(known));
			this.link.send(request, new ReplyListener() {
				@Override
				public void replied(Reply reply) {
					done.accept(Optional.of(reply.getConfiguration()).filter((c) -> c.getVersion() > known));
				}

				@Override
				public void broke() {
					done.accept(Optional.empty());
				}
			});
		}

		@Override
		public void offer(ConfigurationDocument document) {
			this.link.send(Request.newBuilder().setOfferConfiguration(document), ReplyListener.NONE);
		}

	}

	/**
	 * Takes over what a seed says and closes the link to it.
	 */
	private final class SeedReply implements ReplyListener {

		private final KeeperLink link;

		private final PulseListener listener;

		private boolean fetching;

		private SeedReply(KeeperLink link, PulseListener listener) {
			this.link = link;
			this.listener = listener;
		}

		@Override
		public void replied(Reply reply) {
			adoptView(reply);
			this.listener.heard(this.link.member(), reply.getPulse(), new LinkSource(this.link) {
				@Override
				public void fetch(long known, Consumer<Optional<ConfigurationDocument>> done) {
					SeedReply.this.fetching = true;
					super.fetch(known, (document) -> {
						done.accept(document);
						SeedReply.this.link.close();
					});
				}
			});
			if (!this.fetching) {
				this.link.close();
			}
		}

		@Override
		public void broke() {
			this.link.close();
		}

	}

}
