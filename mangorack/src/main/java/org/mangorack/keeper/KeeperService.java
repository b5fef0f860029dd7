package org.mangorack.keeper;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Batch;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.Drawn;
import org.mangorack.keeper.proto.Listing;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Reserve;
import org.mangorack.keeper.proto.Settle;
import org.mangorack.keeper.proto.Status;
import org.mangorack.keeper.proto.Store;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.member.MessageFrames;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * Handles the requests of entries and of other keepers. All state is confined to the
 * thread of one event loop.
 */
final class KeeperService {

	private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

	private static final Duration LIVENESS_INTERVAL = Duration.ofMillis(200);

	/**
	 * How long an entry may take to send a configuration that this keeper requested
	 * before another entry is asked.
	 */
	private static final Duration OFFER_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * The size in bytes of the content that one message copies during a change of the
	 * group. A message with a single turn or the charges of a single program may be
	 * larger.
	 */
	static final int MAX_BATCH_BYTES = 512 * 1024;

	// The age assumed for a configuration whose time of confirmation is unknown.
	private static final Duration UNKNOWN_AGE = Duration.ofDays(1);

	private final EventLoopGroup loops;

	private final TurnStore turns;

	private final WorkspaceBuckets buckets;

	private final LiveEntries entries;

	private final Departures departures;

	private final UpstreamList upstreams;

	private final ConfigurationRelay configuration;

	private final ConfigurationTransfers transfers;

	private final ViewFile viewFile;

	private final String disk;

	private final MonotonicClock clock;

	private EvacuationList evacuations = EvacuationList.unwatched();

	private Consumer<GroupView> viewListener = (v) -> {
	};

	private volatile GroupView view;

	private long configurationRequestedAt;

	// What was copied during changes of the group, in turns and programs.
	private final AtomicLong copied = new AtomicLong();

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private Channel serverChannel;

	KeeperService(EventLoopGroup loops, TurnStore turns, ViewFile viewFile, String disk, GroupView view,
			ConfigurationRelay configuration, UpstreamList upstreams, MonotonicClock clock, Metrics metrics) {
		this.loops = loops;
		this.turns = turns;
		this.viewFile = viewFile;
		this.disk = disk;
		this.view = view;
		this.configuration = configuration;
		this.upstreams = upstreams;
		this.clock = clock;
		this.buckets = new WorkspaceBuckets(clock, configuration);
		this.entries = new LiveEntries(clock, metrics);
		this.departures = new Departures(clock);
		this.transfers = new ConfigurationTransfers(loops.next(), clock);
		this.configurationRequestedAt = clock.nanoTime() - OFFER_TIMEOUT.toNanos();
	}

	// ---- Life-cycle

	/**
	 * Starts to accept connections.
	 * @param address the address to bind to
	 * @throws IOException if the port is in use
	 */
	void start(HttpAddress address) throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, 512)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					KeeperService.this.connections.add(ch);
					MessageFrames.addTo(ch.pipeline(), Request.getDefaultInstance());
					ch.pipeline().addLast(new RequestHandler());
				}
			});
		try {
			this.serverChannel = bootstrap.bind(address.host(), address.port()).sync().channel();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while binding " + address, ex);
		}
		this.loops.next()
			.scheduleWithFixedDelay(new GuardedTask("expiry", this.turns::expire), EXPIRY_INTERVAL.toMillis(),
					EXPIRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.loops.next()
			.scheduleWithFixedDelay(new GuardedTask("live entries", this.entries::expire), LIVENESS_INTERVAL.toMillis(),
					LIVENESS_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes the listening socket and all connections.
	 */
	void close() {
		if (this.serverChannel != null) {
			this.serverChannel.close().syncUninterruptibly();
		}
		this.connections.close().syncUninterruptibly();
	}

	// ---- Accessors

	/**
	 * Returns the port that the service listens on.
	 * @return the TCP port
	 */
	int port() {
		return ((InetSocketAddress) this.serverChannel.localAddress()).getPort();
	}

	/**
	 * Returns the view in use. May be called by any thread.
	 * @return the view
	 */
	GroupView view() {
		return this.view;
	}

	void setViewListener(Consumer<GroupView> listener) {
		this.viewListener = listener;
	}

	/**
	 * Sets the evacuated data centres to report to entries. Must be called before the
	 * service is started.
	 * @param evacuations the list, which the platform watch keeps up to date
	 */
	void setEvacuations(EvacuationList evacuations) {
		this.evacuations = evacuations;
	}

	TurnStore turns() {
		return this.turns;
	}

	// ---- Public API

	/**
	 * Switches to a view if it is newer than the one in use, after writing it to disk.
	 * Requests of older views are rejected from then on.
	 * @param newer the view
	 * @throws IOException if the view cannot be written
	 */
	void adopt(GroupView newer) throws IOException {
		if (newer.epoch() > this.view.epoch()) {
			this.viewFile.write(newer);
			EventLog.log(Event.GROUP_VIEW, "epoch", newer.epoch(), "before", this.view.epoch(), "member",
					newer.isMember(this.disk), "changing", newer.isChanging());
			this.view = newer;
			this.viewListener.accept(newer);
		}
	}

	/**
	 * Records progress of a copy during a change of the group, which other keepers see.
	 * May be called by any thread.
	 * @param count the number of turns and programs that were copied
	 */
	void recordCopied(int count) {
		this.copied.addAndGet(count);
	}

	// ---- Helpers

	private void handle(Request request, Consumer<Reply.Builder> out) {
		if (requiresNamedDisk(request) && !request.getDisk().equals(this.disk)) {
			out.accept(withNewerView(Reply.newBuilder().setStatus(Status.WRONG_DISK), request));
			return;
		}
		if (requiresCurrentView(request) && (request.getEpoch() != this.view.epoch())) {
			boolean stale = request.getEpoch() < this.view.epoch();
			out.accept(Reply.newBuilder()
				.setStatus(stale ? Status.STALE_VIEW : Status.UNKNOWN_VIEW)
				.setView(this.view.toProto()));
			return;
		}
		try {
			handleCurrent(request, out);
		}
		catch (UncheckedIOException ex) {
			EventLog.log(Event.LOG_FAILED, ex, "operation", "read");
			out.accept(Reply.newBuilder().setStatus(Status.FAILED));
		}
	}

	private void handleCurrent(Request request, Consumer<Reply.Builder> out) {
		switch (request.getBodyCase()) {
			case RESERVE -> reserve(request.getReserve(), out);
			case SETTLE -> settle(request.getSettle(), out);
			case FETCH -> out.accept(durableReply()
				.setChain(this.turns.chain(request.getFetch().getTurn()).setComplete(this.view.isMember(this.disk))));
			case BEAT -> out.accept(beat(request));
			case DRAW -> draw(request.getDraw(), out);
			case ADOPT -> adoptFrom(request, out);
			case INVENTORY -> out.accept(durableReply().setListing(Listing.newBuilder()
				.addAllTurn(this.turns.turnIds())
				.addAllUnsyncedTurn(this.turns.unsyncedTurnIds())
				.addAllProgram(this.turns.ledgers())));
			case COPY -> out.accept(durableReply().setBatch(copy(request)));
			case STORE -> store(request.getStore(), out);
			case OFFER_CONFIGURATION -> acceptOfferedConfiguration(request.getOfferConfiguration(), out);
			default -> out.accept(Reply.newBuilder().setStatus(Status.FAILED));
		}
	}

	// Replies to these requests count towards a quorum or depend on what the disk holds.
	private static boolean requiresNamedDisk(Request request) {
		return requiresCurrentView(request) || switch (request.getBodyCase()) {
			case ADOPT, INVENTORY, COPY, STORE -> true;
			default -> false;
		};
	}

	private static boolean requiresCurrentView(Request request) {
		return switch (request.getBodyCase()) {
			case RESERVE, SETTLE, FETCH, DRAW -> true;
			default -> false;
		};
	}

	private Reply.Builder withNewerView(Reply.Builder reply, Request request) {
		return (this.view.epoch() > request.getEpoch()) ? reply.setView(this.view.toProto()) : reply;
	}

	private static Reply.Builder durableReply() {
		return Reply.newBuilder().setDurable(true);
	}

	private void reserve(Reserve reserve, Consumer<Reply.Builder> out) {
		Charge charge = Charge.newBuilder().setAttempt(reserve.getAttempt()).setTokens(reserve.getTokens()).build();
		ProgramCharges charges = ProgramCharges.newBuilder()
			.setProgram(reserve.getProgram())
			.addCharge(charge)
			.setRetentionMs(reserve.getRetentionMs())
			.build();
		boolean counted = this.turns.charge(charges,
				(failure) -> out.accept(outcome(failure).setCharges(this.turns.charges(reserve.getProgram()))));
		if (counted) {
			out.accept(Reply.newBuilder().setCharges(this.turns.charges(reserve.getProgram())));
		}
	}

	private void settle(Settle settle, Consumer<Reply.Builder> out) {
		AppendBarrier barrier = new AppendBarrier(
				(failure) -> out.accept(outcome(failure).setMissingPredecessor(missingPredecessor(settle))));
		if (settle.getCharged()) {
			Charge charge = Charge.newBuilder()
				.setAttempt(settle.getAttempt())
				.setTokens(settle.getTokens())
				.setSettled(true)
				.build();
			ProgramCharges charges = ProgramCharges.newBuilder()
				.setProgram(settle.getProgram())
				.addCharge(charge)
				.setRetentionMs(settle.getRetentionMs())
				.build();
			this.turns.charge(charges, barrier.newCallback());
		}
		if (settle.hasTurn()) {
			this.turns.storeTurn(settle.getTurn(), barrier.newCallback());
		}
		settle.getPredecessorList().forEach((t) -> this.turns.storeTurn(t, barrier.newCallback()));
		barrier.start();
	}

	// A settlement holds consecutive turns, so only the predecessors of the oldest one
	// can be missing.
	private String missingPredecessor(Settle settle) {
		int predecessors = settle.getPredecessorCount();
		Turn oldest = (predecessors > 0) ? settle.getPredecessor(predecessors - 1) : settle.getTurn();
		return this.turns.newestMissing(oldest.getPrevious());
	}

	// A sender that names no epoch is an earlier version, which takes any turn that the
	// reply lacks for expired.
	private Batch.Builder copy(Request request) {
		int maxBytes = (request.getEpoch() != 0) ? MAX_BATCH_BYTES : Integer.MAX_VALUE;
		return Batch.newBuilder().addAllTurn(this.turns.turns(request.getCopy().getTurnList(), maxBytes));
	}

	private void store(Store store, Consumer<Reply.Builder> out) {
		AppendBarrier barrier = new AppendBarrier((failure) -> out.accept(outcome(failure)));
		store.getTurnList().forEach((t) -> this.turns.storeTurn(t, barrier.newCallback()));
		store.getProgramList().forEach((p) -> this.turns.charge(p, barrier.newCallback()));
		barrier.start();
	}

	private static Reply.Builder outcome(IOException failure) {
		return (failure != null) ? Reply.newBuilder().setStatus(Status.FAILED) : durableReply();
	}

	private Reply.Builder beat(Request request) {
		Beat beat = request.getBeat();
		this.entries.recordHeartbeat(beat);
		this.buckets.deduct(beat.getUsageList());
		beat.getDepartureList().forEach(this.departures::add);
		confirmConfiguration(beat);
		ConfigurationRelay.ConfirmedVersion known = this.configuration.confirmedVersion();
		Pulse.Builder pulse = Pulse.newBuilder()
			.setTimeMs(TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime()))
			.addAllLevel(this.buckets.levels())
			.setConfiguration(known.version())
			.setConfigurationAgeMs(known.age().toMillis() + 1)
			.setContactAgeMs(this.configuration.timeSinceContact().toMillis())
			.setEntriesContactAgeMs(this.entries.timeSinceContact().toMillis())
			.setEntriesHeard(this.entries.count())
			.setContact(this.upstreams.contact());
		pulse.setConfigurationWanted(shouldRequestConfiguration(beat));
		if (beat.getWithLists()) {
			addLists(beat, pulse);
		}
		Reply.Builder reply = durableReply().setPulse(pulse);
		boolean otherDisk = !request.getDisk().isEmpty() && !request.getDisk().equals(this.disk);
		return withNewerView(otherDisk ? reply.setStatus(Status.WRONG_DISK) : reply, request);
	}

	private void addLists(Beat beat, Pulse.Builder pulse) {
		pulse.setWithLists(true)
			.setUpstreams(this.upstreams.changesSince(beat.getUpstreams()))
			.addAllLoad(this.entries.loadOfOtherEntries(beat.getInstance()));
		this.entries.addChanges(beat, pulse);
		this.evacuations.newerThan(beat.getEvacuations()).ifPresent(pulse::setEvacuations);
		pulse.setDepartures(this.departures.version());
		if (this.departures.version() != beat.getDepartures()) {
			pulse.addAllDeparture(this.departures.all(Departures.RETENTION));
		}
	}

	// A heartbeat may have been delayed in transit, but it was sent after the reply that
	// it refers to. The configuration age that it reports is therefore counted from the
	// time of that reply.
	private void confirmConfiguration(Beat beat) {
		long now = this.clock.nanoTime();
		long sentAfter = TimeUnit.MILLISECONDS.toNanos(beat.getPulseTimeMs());
		boolean known = (beat.getPulseTimeMs() != 0) && (sentAfter <= now);
		long confirmedAt = known ? (sentAfter - TimeUnit.MILLISECONDS.toNanos(beat.getConfigurationAgeMs()))
				: (now - UNKNOWN_AGE.toNanos());
		this.configuration.confirm(beat.getConfiguration(), confirmedAt);
	}

	// Requests a newer configuration from one entry at a time.
	private boolean shouldRequestConfiguration(Beat beat) {
		long now = this.clock.nanoTime();
		boolean wanted = (beat.getConfiguration() > this.configuration.version())
				&& (now - this.configurationRequestedAt > OFFER_TIMEOUT.toNanos());
		if (wanted) {
			this.configurationRequestedAt = now;
		}
		return wanted;
	}

	// An offer does not say when it was sent, so it does not confirm that its
	// configuration is the newest one; the next heartbeat does.
	private void acceptOfferedConfiguration(ConfigurationDocument document, Consumer<Reply.Builder> out) {
		this.configuration.offer(document, this.clock.nanoTime() - UNKNOWN_AGE.toNanos(), "entry");
		out.accept(durableReply());
	}

	private Reply.Builder newerConfiguration(long known) {
		ConfigurationDocument document = this.configuration.document();
		return (document.getVersion() > known) ? durableReply().setConfiguration(document) : durableReply();
	}

	private void draw(Draw draw, Consumer<Reply.Builder> out) {
		Duration wait = this.buckets.draw(draw);
		out.accept(durableReply().setDrawn(Drawn.newBuilder().setGranted(wait.isZero()).setRetryMs(wait.toMillis())));
	}

	private void adoptFrom(Request request, Consumer<Reply.Builder> out) {
		try {
			adopt(GroupView.of(request.getAdopt().getView(), this.view.tolerance()));
			out.accept(durableReply().setView(this.view.toProto()).setCopied(this.copied.get()));
		}
		catch (IOException ex) {
			EventLog.log(Event.LOG_FAILED, ex, "operation", "write view", "epoch",
					request.getAdopt().getView().getEpoch());
			out.accept(Reply.newBuilder().setStatus(Status.FAILED));
		}
	}

	/**
	 * Completes once several appends to the log have completed. Callbacks are created
	 * before {@link #start()}.
	 */
	private static final class AppendBarrier {

		private final Consumer<IOException> done;

		private final Set<Object> pending = new HashSet<>();

		private IOException failure;

		private boolean started;

		private AppendBarrier(Consumer<IOException> done) {
			this.done = done;
		}

		private Consumer<IOException> newCallback() {
			Object append = new Object();
			this.pending.add(append);
			return (outcome) -> {
				this.pending.remove(append);
				this.failure = (outcome != null) ? outcome : this.failure;
				finish();
			};
		}

		private void start() {
			this.started = true;
			finish();
		}

		private void finish() {
			if (this.started && this.pending.isEmpty()) {
				this.started = false;
				this.done.accept(this.failure);
			}
		}

	}

	/**
	 * Handles the requests of one connection.
	 */
	private final class RequestHandler extends SimpleChannelInboundHandler<Request> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Request request) {
			KeeperService service = KeeperService.this;
			if (request.hasFetchConfiguration()) {
				long known = request.getFetchConfiguration().getKnown();
				service.transfers.add(
						(end) -> write(ctx, request, service.newerConfiguration(known)).addListener((f) -> end.run()),
						() -> write(ctx, request, durableReply()));
				return;
			}
			service.handle(request, (reply) -> {
				if (ctx.channel().isActive()) {
					write(ctx, request, reply);
				}
			});
		}

		private static ChannelFuture write(ChannelHandlerContext ctx, Request request, Reply.Builder reply) {
			return ctx.writeAndFlush(reply.setId(request.getId()).build());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			EventLog.log(Event.KEEPER_CALLER_LOST, "peer", ctx.channel().remoteAddress(), "cause", cause);
			ctx.close();
		}

	}

}
