package org.mangorack.keeper;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
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
import org.mangorack.keeper.proto.Status;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.MonotonicClock;

/**
 * The client of an entry for the group of keepers. Calls continue across membership
 * changes until enough members have replied or the call times out. Not thread-safe:
 * confined to its event loop.
 */
public final class KeeperClient {

	/**
	 * The timeout of calls that need a quorum of keepers. Longer than it takes to restart
	 * after all keepers were killed.
	 */
	static final Duration CALL_TIMEOUT = Duration.ofMillis(1800);

	/**
	 * How long a settlement is resent to members that have not confirmed it.
	 */
	static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(6);

	/**
	 * The timeout for taking a call from a rate limit bucket. A call that cannot be
	 * counted is refused early, so that its caller can try another entry.
	 */
	static final Duration DRAW_TIMEOUT = Duration.ofMillis(500);

	/**
	 * How long to wait for the preferred members before asking the others as well: a few
	 * times the round trip between data centres and a disk sync.
	 */
	static final Duration HEDGE_DELAY = Duration.ofMillis(40);

	/**
	 * A budget is read again after the reservation if it has no room for this many more
	 * turns of the same size, since that many concurrent reservations may not have been
	 * seen.
	 */
	static final int REREAD_MARGIN_TURNS = 8;

	/**
	 * How long to wait before a keeper that could not write a view, for example because
	 * its disk is full, is sent requests of that view again.
	 */
	static final Duration VIEW_RETRY_DELAY = RecordLog.RETRY_DELAY;

	/**
	 * How many heartbeats without news a keeper is sent before it replies to the first.
	 * More than one, so that a long round trip does not extend the heartbeat interval.
	 */
	static final int MAX_REPEATED_HEARTBEATS = 2;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final String dataCentre;

	private final Map<String, KeeperLink> links = new HashMap<>();

	// Members whose address belongs to a keeper with another disk since it was connected.
	private final Set<String> replacedDisks = new HashSet<>();

	// The heartbeats that a keeper has not replied to, oldest first.
	private final Map<KeeperLink, Deque<Beat>> unansweredHeartbeats = new HashMap<>();

	private final Set<GroupCall> calls = new HashSet<>();

	private final Map<HttpAddress, SeedQuery> seedQueries = new HashMap<>();

	private GroupView view;

	private Consumer<GroupView> onView = (v) -> {
	};

	private Runnable onConnected = () -> {
	};

	/**
	 * Creates a client without a known group.
	 * @param loop the event loop for calls and replies
	 * @param clock the time source
	 * @param dataCentre the data centre of this instance, whose keepers are asked first
	 * @param tolerance how many disks may fail at the same time
	 */
	public KeeperClient(EventLoop loop, MonotonicClock clock, String dataCentre, int tolerance) {
		this.loop = loop;
		this.clock = clock;
		this.dataCentre = dataCentre;
		this.view = GroupView.unknown(tolerance);
		loop.scheduleWithFixedDelay(new GuardedTask("keeper calls", this::check), KeeperLink.CHECK_INTERVAL.toMillis(),
				KeeperLink.CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	// ---- Configuration

	/**
	 * Sets the listener for new views.
	 * @param listener receives each view that is adopted
	 */
	public void setViewListener(Consumer<GroupView> listener) {
		this.onView = listener;
	}

	/**
	 * Sets the listener for new connections.
	 * @param listener runs after a connection to a member of the group was established
	 */
	public void setConnectionListener(Runnable listener) {
		this.onConnected = listener;
	}

	/**
	 * Adopts a view if it is newer than the current one.
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
				KeeperLink link = new KeeperLink(this.loop, m, this.clock, () -> memberConnected(m));
				this.loop.execute(link::connect);
				return link;
			});
		});
		this.links.values().removeIf((link) -> {
			boolean unwanted = !wanted.contains(link.member().getDisk());
			if (unwanted) {
				link.close();
				this.unansweredHeartbeats.remove(link);
			}
			return unwanted;
		});
		this.replacedDisks.retainAll(wanted);
		this.onView.accept(newer);
		sendMissing();
	}

	/**
	 * Adopts the view in a reply, if there is one and it is newer than the current one.
	 * @param reply the reply
	 */
	void adoptView(Reply reply) {
		if (reply.hasView()) {
			adopt(GroupView.of(reply.getView(), this.view.tolerance()));
		}
	}

	// ---- Accessors

	/**
	 * Returns the current view.
	 * @return the view
	 */
	public GroupView view() {
		return this.view;
	}

	/**
	 * Returns the members that are connected.
	 * @return the members with an established connection, without those whose disk was
	 * replaced
	 */
	public List<Member> connectedMembers() {
		return this.links.values().stream().map(KeeperLink::member).filter((m) -> link(m).isPresent()).toList();
	}

	/**
	 * Returns whether enough keepers are connected to serve calls.
	 * @return {@code true} if the connected members are a majority
	 */
	public boolean isServing() {
		return this.view
			.isMajority(connectedMembers().stream().map(Member::getDisk).collect(Collectors.toUnmodifiableSet()));
	}

	/**
	 * Describes the connections for a log record of a request that too few keepers
	 * answered.
	 * @return alternating names and values: the names of the connected members in
	 * alphabetical order, how many members the group has, including those that are
	 * joining it, and the epoch
	 */
	public Object[] connectionFields() {
		List<String> connected = connectedMembers().stream().map(Member::getName).sorted().toList();
		return new Object[] { "connected", connected, "members", this.view.all().size(), "epoch", this.view.epoch() };
	}

	// ---- Public API

	/**
	 * Reserves tokens of a program's budget.
	 * @param attempt the attempt
	 * @param tokens the maximum number of tokens that the attempt may use
	 * @param budget the token budget of the entire program
	 * @param listener receives the outcome
	 */
	public void reserve(ProgramAttempt attempt, int tokens, long budget, ReservationListener listener) {
		new ReserveCall(this, attempt, tokens, budget, listener).start();
	}

	/**
	 * Settles a charge and stores a turn. The request is resent to members that do not
	 * reply for up to {@link #SETTLE_TIMEOUT}, even after the outcome has been reported.
	 * @param attempt the attempt
	 * @param tokens the tokens that the attempt used
	 * @param charged whether the attempt has a reservation
	 * @param turn the turn with its chain, or {@code null} if it did not complete
	 * @param done receives whether the turn, its chain and the charge are durable, that
	 * is, survive a power failure
	 */
	public void settle(ProgramAttempt attempt, int tokens, boolean charged, ChainedTurn turn, Consumer<Boolean> done) {
		new SettleCall(this, attempt, tokens, charged, turn, done).start();
	}

	/**
	 * Reads a chain of turns.
	 * @param program the requesting program, which determines the preferred members
	 * @param turn the newest turn of the chain
	 * @param listener receives the outcome
	 */
	public void fetch(String program, String turn, ChainListener listener) {
		new FetchCall(this, program, turn, listener).start();
	}

	/**
	 * Takes one call from the rate limit bucket of a workspace.
	 * @param draw the call
	 * @param done receives zero if the call was granted, the time after which to retry if
	 * it was denied, or {@code null} if too few keepers replied
	 */
	public void draw(Draw draw, Consumer<Duration> done) {
		new DrawCall(this, draw, done).start();
	}

	/**
	 * Sends a heartbeat to every connected member, except for those that have not replied
	 * to earlier ones and would learn nothing new from it.
	 * @param beat creates the heartbeat for a member, given its disk
	 * @param listener receives the reply of each member, unless another keeper replies at
	 * its address
	 */
	public void sendHeartbeats(Function<String, Beat> beat, HeartbeatReplyListener listener) {
		for (KeeperLink link : List.copyOf(this.links.values())) {
			if (!link.isConnected()) {
				continue;
			}
			Beat next = beat.apply(link.member().getDisk());
			Deque<Beat> unanswered = this.unansweredHeartbeats.computeIfAbsent(link, (l) -> new ArrayDeque<>());
			if ((unanswered.size() >= MAX_REPEATED_HEARTBEATS) && !hasNews(next, unanswered.getLast())) {
				continue;
			}
			unanswered.add(next);
			link.send(Request.newBuilder().setEpoch(this.view.epoch()).setBeat(next), new ReplyListener() {
				@Override
				public void replied(Reply reply) {
					unanswered.poll();
					adoptView(reply);
					if (reply.getStatus() == Status.WRONG_DISK) {
						markReplaced(link.member());
						return;
					}
					listener.pulseReceived(link.member(), reply.getPulse(), new LinkConfigurationSource(link));
				}

				@Override
				public void connectionLost() {
					unanswered.poll();
				}
			});
		}
	}

	private static boolean hasNews(Beat beat, Beat previous) {
		return (beat.getUsageCount() > 0) || (beat.getLoadCount() > 0)
				|| !beat.getDepartureList().equals(previous.getDepartureList())
				|| (beat.getAccepting() != previous.getAccepting())
				|| (beat.getConfiguration() != previous.getConfiguration())
				|| (beat.getWithLists() && !previous.getWithLists());
	}

	/**
	 * Discovers the group through keepers at configured addresses, so that an entry can
	 * start without the platform. The view in a reply is adopted only if it is newer than
	 * the current one. Is to be called repeatedly until the group is known; a keeper that
	 * has not replied yet is not asked again.
	 * @param seeds the addresses of keepers, some of which may be wrong
	 * @param beat the heartbeat to send
	 * @param listener receives the reply of each keeper
	 */
	public void querySeeds(List<HttpAddress> seeds, Beat beat, HeartbeatReplyListener listener) {
		for (HttpAddress seed : seeds) {
			this.seedQueries.computeIfAbsent(seed, SeedQuery::new).start(beat, listener);
		}
	}

	// ---- Services for calls

	void callStarted(GroupCall call) {
		this.calls.add(call);
	}

	void callEnded(GroupCall call) {
		this.calls.remove(call);
	}

	long now() {
		return this.clock.nanoTime();
	}

	String dataCentre() {
		return this.dataCentre;
	}

	/**
	 * Returns the link to a member.
	 * @param member the member
	 * @return the link, or empty if there is none, it is not connected or the disk of the
	 * member was replaced
	 */
	Optional<KeeperLink> link(Member member) {
		return Optional.ofNullable(this.links.get(member.getDisk()))
			.filter((l) -> l.isConnected() && !this.replacedDisks.contains(member.getDisk()));
	}

	/**
	 * Excludes a member until it is connected again, because a keeper with another disk
	 * replies at its address.
	 * @param member the member
	 */
	void markReplaced(Member member) {
		if (this.links.containsKey(member.getDisk())) {
			this.replacedDisks.add(member.getDisk());
		}
	}

	/**
	 * Sends a request and ignores the reply.
	 * @param member the member
	 * @param request the request
	 */
	void sendOneWay(Member member, Request.Builder request) {
		link(member).ifPresent((l) -> l.send(request.setEpoch(this.view.epoch()), ReplyListener.NONE));
	}

	// ---- Helpers

	private void check() {
		this.links.values().forEach(KeeperLink::checkInactivity);
		List.copyOf(this.seedQueries.values()).forEach(SeedQuery::check);
		long now = this.clock.nanoTime();
		for (GroupCall call : List.copyOf(this.calls)) {
			call.check(now);
		}
	}

	private boolean isGroupKnown() {
		return this.view.epoch() > 0;
	}

	private void memberConnected(Member member) {
		this.replacedDisks.remove(member.getDisk());
		sendMissing();
		this.onConnected.run();
	}

	private void sendMissing() {
		for (GroupCall call : List.copyOf(this.calls)) {
			call.sendMissing();
		}
	}

	/**
	 * Sends the current view to a keeper, then the pending requests of active calls.
	 * @param link the link to the keeper
	 */
	void sendView(KeeperLink link) {
		Request.Builder request = Request.newBuilder().setAdopt(Adopt.newBuilder().setView(this.view.toProto()));
		link.send(request, new ReplyListener() {
			@Override
			public void replied(Reply reply) {
				if (reply.getStatus() == Status.FAILED) {
					KeeperClient.this.loop.schedule(KeeperClient.this::sendMissing, VIEW_RETRY_DELAY.toMillis(),
							TimeUnit.MILLISECONDS);
					return;
				}
				if (reply.getStatus() == Status.WRONG_DISK) {
					markReplaced(link.member());
				}
				sendMissing();
			}

			@Override
			public void connectionLost() {
				// Calls are resent once the link is connected again.
			}
		});
	}

	private static List<String> names(List<Member> members) {
		return members.stream().map(Member::getName).toList();
	}

	/**
	 * Ranks the members for a program by rendezvous hashing, so that the turns of a
	 * program are stored on the same members.
	 * @param program the program
	 * @return all members in order of preference
	 */
	List<Member> rankMembers(String program) {
		List<Member> ranked = new ArrayList<>(this.view.all());
		ranked.sort(Comparator.comparingLong((m) -> weight(program, m.getDisk())));
		return ranked;
	}

	/**
	 * Returns the preferred members of a program, which its turns are sent to first.
	 * @param program the program
	 * @return one member more than have to sync a turn
	 */
	List<Member> preferredMembers(String program) {
		return rankMembers(program).stream().limit(this.view.tolerance() + 2L).toList();
	}

	private static long weight(String key, String disk) {
		CRC32C crc = new CRC32C();
		crc.update((key + "|" + disk).getBytes(StandardCharsets.UTF_8));
		return crc.getValue();
	}

	/**
	 * Receives the replies of keepers to heartbeats.
	 */
	@FunctionalInterface
	public interface HeartbeatReplyListener {

		/**
		 * Reports the reply of a keeper.
		 * @param member the keeper
		 * @param pulse the heartbeat reply
		 * @param source exchanges configuration documents with the keeper
		 */
		void pulseReceived(Member member, Pulse pulse, ConfigurationSource source);

	}

	/**
	 * Exchanges configuration documents over a link.
	 */
	private static class LinkConfigurationSource implements ConfigurationSource {

		private final KeeperLink link;

		LinkConfigurationSource(KeeperLink link) {
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
				public void connectionLost() {
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
	 * A query to a seed. Keeps its connection until the keeper replies, as a keeper that
	 * is late would be later still if it had to serve further connections. Ends with the
	 * reply, after the configuration has been fetched if the listener requested it.
	 */
	private final class SeedQuery implements ReplyListener {

		private final HttpAddress seed;

		private final KeeperLink link;

		private Beat beat;

		private HeartbeatReplyListener listener;

		private boolean fetching;

		private SeedQuery(HttpAddress seed) {
			this.seed = seed;
			Member member = Member.newBuilder()
				.setName(seed.toString())
				.setHost(seed.host())
				.setPort(seed.port())
				.build();
			this.link = new KeeperLink(KeeperClient.this.loop, member, KeeperClient.this.clock, this::send);
		}

		private void start(Beat latestBeat, HeartbeatReplyListener latestListener) {
			this.beat = latestBeat;
			this.listener = latestListener;
			this.link.connect();
		}

		private void send() {
			this.link.send(Request.newBuilder().setBeat(this.beat), this);
		}

		private void check() {
			this.link.closeIfSilent(KeeperLink.PROBE_TIMEOUT);
			if (isGroupKnown() && !this.link.isConnected()) {
				end();
			}
		}

		private void end() {
			KeeperClient.this.seedQueries.remove(this.seed, this);
			this.link.close();
		}

		@Override
		public void replied(Reply reply) {
			adoptView(reply);
			this.listener.pulseReceived(this.link.member(), reply.getPulse(), new LinkConfigurationSource(this.link) {
				@Override
				public void fetch(long known, Consumer<Optional<ConfigurationDocument>> done) {
					SeedQuery.this.fetching = true;
					super.fetch(known, (document) -> {
						done.accept(document);
						end();
					});
				}
			});
			if (!this.fetching) {
				end();
			}
		}

		@Override
		public void connectionLost() {
			end();
		}

	}

}
