package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;

import org.mangorack.call.Jsons;
import org.mangorack.call.Prompt;
import org.mangorack.dispatch.EngineTimes;
import org.mangorack.dispatch.KeptPrompt;
import org.mangorack.dispatch.PromptPlacement;
import org.mangorack.dispatch.UpstreamSubset;
import org.mangorack.keeper.Departures;
import org.mangorack.keeper.proto.Departure;
import org.mangorack.keeper.proto.Evacuations;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.limit.ColdRate;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;
import org.mangorack.relay.FleetConfiguration.Pool;

/**
 * The known upstreams of all pools, and the selection of one for a call. Not thread-safe:
 * used only on the traffic event loop.
 */
final class UpstreamTable {

	/**
	 * How long after the end of a platform outage an upstream without an entry is still
	 * used. Upstreams that are alive register again within two seconds.
	 */
	static final Duration RECOVERY_GRACE_PERIOD = Duration.ofMillis(2100);

	/**
	 * The longest time that an upstream without an entry is used, regardless of outages
	 * of the platform. An upstream may stop two seconds after its entry is gone; the
	 * difference allows for the delay of the update and of the request.
	 */
	static final Duration MAX_MISSING_TIME = Duration.ofMillis(1600);

	/**
	 * How long a departure is reported to the keepers. Covers several heartbeats, so that
	 * a lost heartbeat does not lose the departure.
	 */
	static final Duration DEPARTURE_REPORT_PERIOD = Duration.ofSeconds(3);

	/**
	 * The load from which on an engine gets no more turns that can wait at the entry. A
	 * few queued turns keep it busy while the news of its load is on its way.
	 */
	static final double ROOM_LOAD = 1.25;

	/**
	 * The number of removed upstreams that are remembered, so that one whose registration
	 * was lost for a while does not count as started when it returns.
	 */
	static final int MAX_REMOVED = 500;

	private static final int MAX_LOGGED_ENTRY_BYTES = 2048;

	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

	private final EventLoop loop;

	private final FleetProtocol protocol;

	private final UpstreamClient client;

	private final MonotonicClock clock;

	private final UpstreamChoice<Upstream> choice;

	private final PromptPlacement<Upstream> promptPlacement;

	private final UpstreamSubset subset;

	// Times of the pools whose prompts are reused.
	private final Map<String, EngineTimes> engineTimes = new HashMap<>();

	private final Map<String, Upstream> upstreams = new HashMap<>();

	private final Map<String, UpstreamRegistration> removed = new LinkedHashMap<>();

	private final Set<String> unreadable = new HashSet<>();

	// The valid upstream entries that the platform holds.
	private final Map<String, UpstreamRegistration> registered = new HashMap<>();

	// Departures that upstreams announced to this entry in their responses.
	private final Departures localDepartures;

	private final Departures remoteDepartures;

	private final PlatformRecovery platformRecovery;

	private BooleanSupplier startsLimited = () -> false;

	// Read by the thread that collects the metrics.
	private volatile int startingCount;

	private long version;

	// The data centres whose upstreams must get no requests.
	private Set<String> evacuated = Set.of();

	private long evacuationsVersion;

	// Whether upstreams that are not known yet have started since.
	private boolean listed;

	private ColdRate coldRate;

	private Function<String, Pool> pools = (name) -> null;

	UpstreamTable(EventLoop loop, FleetProtocol protocol, UpstreamClient client, MonotonicClock clock, String instance,
			String dataCentre) {
		this.loop = loop;
		this.platformRecovery = new PlatformRecovery(clock);
		this.localDepartures = new Departures(clock);
		this.remoteDepartures = new Departures(clock);
		this.protocol = protocol;
		this.client = client;
		this.clock = clock;
		this.choice = new UpstreamChoice<>(new SplittableRandom(), dataCentre);
		this.subset = new UpstreamSubset(instance, dataCentre);
		this.promptPlacement = new PromptPlacement<>(new SplittableRandom(), dataCentre, this.subset);
		loop.scheduleWithFixedDelay(new GuardedTask("idle upstream connections", this::closeIdleConnections),
				SWEEP_INTERVAL.toMillis(), SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	// ---- State

	/**
	 * Returns the version of the platform's data up to which updates were applied.
	 * @return the version; 0 before the first update
	 */
	long version() {
		return this.version;
	}

	/**
	 * Sets whether upstreams that start or recover are limited by how they answer.
	 * @param startsLimited the switch, which may change with the configuration
	 */
	void setStartsLimited(BooleanSupplier startsLimited) {
		this.startsLimited = startsLimited;
	}

	/**
	 * Returns how many upstreams are limited as they start or recover.
	 * @return the number at the last sweep
	 */
	int startingCount() {
		return this.startingCount;
	}

	Upstream upstream(String id) {
		return this.upstreams.get(id);
	}

	/**
	 * Updates what a source reports of its contact with the platform.
	 * @param source the disk of a keeper, or an empty string for this entry's own
	 * requests
	 * @param contact the state of the contact, and for how long the platform has
	 * responded to the source
	 */
	void updatePlatformContact(String source, ContactTracker.Contact contact) {
		this.platformRecovery.update(source, contact);
	}

	/**
	 * Applies an update: the changes since the known version, or a complete list. Ignores
	 * updates that are not newer than the known version.
	 * @param news the update
	 */
	void apply(UpstreamNews news) {
		if (news.getVersion() <= this.version) {
			return;
		}
		this.version = news.getVersion();
		if (news.getWhole()) {
			Set<String> listed = new HashSet<>();
			news.getUpstreamList().forEach((u) -> listed.add(u.getName()));
			this.registered.keySet().retainAll(listed);
			this.unreadable.retainAll(listed);
		}
		news.getGoneList().forEach(this.registered::remove);
		news.getGoneList().forEach(this.unreadable::remove);
		Set<String> knownPools = this.upstreams.values()
			.stream()
			.map((u) -> u.entry().pool())
			.collect(Collectors.toSet());
		news.getUpstreamList().forEach((u) -> parseEntry(u.getName(), u.getDocument(), knownPools));
		this.listed = true;
		removeMissing();
	}

	private void parseEntry(String id, ByteString document, Set<String> knownPools) {
		Optional<UpstreamRegistration> entry = Optional.empty();
		Exception cause = null;
		try {
			entry = this.protocol.upstream(id, Jsons.parse(document.toByteArray()));
		}
		catch (IOException | RuntimeException ex) {
			cause = ex;
		}
		if (entry.isPresent()) {
			this.registered.put(id, entry.get());
			this.unreadable.remove(id);
			update(entry.get(), knownPools);
		}
		else {
			this.registered.remove(id);
			if (this.unreadable.add(id)) {
				EventLog.log(Event.UPSTREAM_UNREADABLE, cause, "upstream", id, "entry", excerpt(document));
			}
		}
	}

	private static String excerpt(ByteString document) {
		return document.substring(0, Math.min(document.size(), MAX_LOGGED_ENTRY_BYTES)).toStringUtf8();
	}

	private void removeMissing() {
		for (Upstream u : List.copyOf(this.upstreams.values())) {
			if (!this.registered.containsKey(u.id())) {
				removeIfExpired(u);
			}
		}
	}

	/**
	 * Sets the calls that other entries have in flight.
	 * @param load calls in flight and latency ratio by upstream
	 */
	void setLoadOfOtherEntries(List<Load> load) {
		Map<String, Integer> calls = new HashMap<>();
		Map<String, Double> latencyRatios = new HashMap<>();
		Map<String, Long> good = new HashMap<>();
		Map<String, Long> bad = new HashMap<>();
		load.forEach((l) -> {
			calls.merge(l.getUpstream(), l.getCalls(), Math::max);
			good.merge(l.getUpstream(), l.getGood(), Math::max);
			bad.merge(l.getUpstream(), l.getBad(), Math::max);
			if (l.getPace() > 0) {
				latencyRatios.merge(l.getUpstream(), l.getPace(), Math::max);
			}
		});
		long now = this.clock.nanoTime();
		this.upstreams.forEach((id, u) -> {
			u.setCallsInFlightElsewhere(calls.getOrDefault(id, 0));
			u.setLatencyRatio(latencyRatios.getOrDefault(id, 1.0));
			u.answeredElsewhere(good.getOrDefault(id, 0L), bad.getOrDefault(id, 0L), now);
		});
	}

	/**
	 * Returns the load that this entry reports to others, and resets the response counts.
	 * @return calls in flight, and responses since the previous call, by upstream
	 */
	List<Load> drainLoad() {
		return this.upstreams.values()
			.stream()
			.map(this::drainLoad)
			.filter((l) -> (l.getCalls() > 0) || (l.getAnswers() > 0))
			.toList();
	}

	private Load drainLoad(Upstream upstream) {
		Load load = upstream.drainLoad();
		long good = upstream.startPace().drainGood();
		long bad = upstream.startPace().drainBad();
		return this.startsLimited.getAsBoolean() ? load.toBuilder().setGood(good).setBad(bad).build() : load;
	}

	/**
	 * Returns the departures that this entry reports to others.
	 * @return the recent departures that upstreams announced to this entry
	 */
	List<Departure> departures() {
		this.upstreams.values()
			.stream()
			.filter(Upstream::isDeparting)
			.map((u) -> toDeparture(u.entry()))
			.filter((toDeparture) -> !this.remoteDepartures.contains(toDeparture))
			.forEach(this.localDepartures::add);
		return this.localDepartures.all(DEPARTURE_REPORT_PERIOD);
	}

	/**
	 * Applies departures that upstreams announced to other entries.
	 * @param departures the departing incarnations of upstreams
	 */
	void applyDepartures(List<Departure> departures) {
		for (Departure d : departures) {
			Upstream known = this.upstreams.get(d.getUpstream());
			boolean isNew = this.remoteDepartures.add(d) && (known != null);
			if (isNew && this.remoteDepartures.contains(toDeparture(known.entry()))) {
				this.client.markDeparting(known);
			}
		}
	}

	private static Departure toDeparture(UpstreamRegistration entry) {
		return Departure.newBuilder()
			.setUpstream(entry.id())
			.setAddress(entry.address().toString())
			.setStartedAt(entry.startedAt())
			.build();
	}

	/**
	 * Returns the version of the platform's data that the evacuations show.
	 * @return the version; 0 before the first list
	 */
	long evacuationsVersion() {
		return this.evacuationsVersion;
	}

	/**
	 * Replaces the evacuated data centres, whose upstreams get no requests. Ignores lists
	 * that are not newer than the known one. The known list stays in force until a newer
	 * one arrives.
	 * @param evacuations the complete list
	 */
	void applyEvacuations(Evacuations evacuations) {
		if (evacuations.getVersion() <= this.evacuationsVersion) {
			return;
		}
		this.evacuationsVersion = evacuations.getVersion();
		Set<String> dataCentres = Set.copyOf(evacuations.getDataCentreList());
		if (!dataCentres.equals(this.evacuated)) {
			this.evacuated = dataCentres;
			EventLog.log(Event.EVACUATIONS_CHANGED, "dataCentres", dataCentres, "version", this.evacuationsVersion);
		}
	}

	/**
	 * Returns whether a pool gets no requests because of evacuations.
	 * @param pool the pool
	 * @return {@code true} if it has upstreams, all of them in evacuated data centres
	 */
	boolean isEvacuated(String pool) {
		if (this.evacuated.isEmpty()) {
			return false;
		}
		List<Upstream> inUse = this.upstreams.values()
			.stream()
			.filter((u) -> u.entry().pool().equals(pool) && u.isInUse())
			.toList();
		return !inUse.isEmpty() && inUse.stream().allMatch((u) -> this.evacuated.contains(u.dataCentre()));
	}

	/**
	 * Makes the table bound the requests to cold upstreams.
	 * @param rate the rate of this entry
	 * @param poolsByName finds the settings of a pool, or {@code null} if it has none
	 */
	void setColdRate(ColdRate rate, Function<String, Pool> poolsByName) {
		this.coldRate = rate;
		this.pools = poolsByName;
	}

	// ---- Selection

	/**
	 * Selects an upstream for a call.
	 * @param pool the pool
	 * @param tried the upstreams that this call has already been sent to
	 * @param affinity the affinity key, which identifies the object that the call
	 * concerns, or {@code null}
	 * @return the upstream, or empty if none is available
	 */
	Optional<Upstream> choose(String pool, Set<Upstream> tried, String affinity) {
		return recorded(this.choice.choose(started(pool, tried), affinity, this.clock.nanoTime()));
	}

	/**
	 * Selects an upstream for a call without affinity among those that this entry
	 * prefers.
	 * @param pool the pool
	 * @param tried the upstreams that this call has already been sent to
	 * @return the upstream, or empty if none is available
	 */
	Optional<Upstream> choosePreferred(String pool, Set<Upstream> tried) {
		long now = this.clock.nanoTime();
		return recorded(this.choice.choose(this.subset.select(started(pool, tried), now), null, now));
	}

	/**
	 * Selects an engine for a turn by what is kept of its prompt.
	 * @param pool the pool
	 * @param tried the upstreams that this turn has already been sent to
	 * @param prompt the prompt of the turn
	 * @param kept the engine that keeps the beginning of the prompt, or {@code null} if
	 * that is unknown
	 * @param byHash whether the engine of the session is to be found by its hash
	 * @return the engine, with what it probably keeps, or empty if none is available
	 */
	Optional<Placed> chooseByPrompt(String pool, Set<Upstream> tried, Prompt prompt, KeptPrompt kept, boolean byHash) {
		long now = this.clock.nanoTime();
		List<Upstream> candidates = started(pool, tried);
		KeptPrompt known = byHash ? PromptPlacement.home(candidates, prompt, now) : kept;
		Upstream chosen = this.promptPlacement.choose(candidates, prompt, known, engineTimes(pool), now);
		if (chosen == null) {
			return Optional.empty();
		}
		recorded(chosen);
		Reuse reuse = (known != null) ? Reuse.of(chosen, known) : Reuse.NEW;
		// By hash, what the engine keeps is only assumed: the first event says nothing.
		long reused = (reuse == Reuse.KEPT) ? known.tokens() : prompt.sharedTokens();
		return Optional.of(new Placed(chosen, byHash ? prompt.tokens() : reused, reuse));
	}

	/**
	 * Returns the usual times of the engines of a pool.
	 * @param pool the pool
	 * @return the times, which the turns of this entry update
	 */
	EngineTimes engineTimes(String pool) {
		return this.engineTimes.computeIfAbsent(pool, (p) -> new EngineTimes());
	}

	/**
	 * Returns the fill of a pool.
	 * @param pool the pool
	 * @return the calls in flight per slot, where upstreams that are avoided count as
	 * full; 0 if there are no upstreams
	 */
	double fill(String pool) {
		long now = this.clock.nanoTime();
		double calls = 0;
		int slots = 0;
		for (Upstream u : candidates(pool, Set.of())) {
			double load = u.isAvoided(now) ? Math.max(1, u.load()) : u.load();
			calls += load * u.slots();
			slots += u.slots();
		}
		return (slots > 0) ? (calls / slots) : 0;
	}

	/**
	 * Returns whether a pool can take another turn.
	 * @param pool the pool
	 * @return {@code false} if all of its upstreams that are not avoided are loaded
	 * beyond {@link #ROOM_LOAD} or cold without a permit left; if all are avoided, each
	 * of them counts
	 */
	boolean hasRoom(String pool) {
		long now = this.clock.nanoTime();
		List<Upstream> candidates = candidates(pool, Set.of());
		if (candidates.isEmpty()) {
			return this.upstreams.values()
				.stream()
				.noneMatch((u) -> u.entry().pool().equals(pool) && u.isInUse()
						&& !this.evacuated.contains(u.dataCentre()));
		}
		List<Upstream> available = candidates.stream().filter((u) -> !u.isAvoided(now)).toList();
		List<Upstream> counted = available.isEmpty() ? candidates : available;
		return counted.stream().anyMatch((u) -> u.load() < ROOM_LOAD);
	}

	private List<Upstream> started(String pool, Set<Upstream> tried) {
		List<Upstream> candidates = candidates(pool, tried);
		return this.startsLimited.getAsBoolean() ? StartRoom.select(candidates, this.clock.nanoTime()) : candidates;
	}

	private List<Upstream> candidates(String pool, Set<Upstream> tried) {
		List<Upstream> candidates = new ArrayList<>();
		Pool settings = this.pools.apply(pool);
		for (Upstream u : this.upstreams.values()) {
			if (u.entry().pool().equals(pool) && u.isInUse() && !tried.contains(u)
					&& !this.evacuated.contains(u.dataCentre()) && hasColdPermit(u, settings)) {
				candidates.add(u);
			}
		}
		return candidates;
	}

	private boolean isLimited(Upstream upstream, Pool pool) {
		return (pool != null) && (pool.coldPerSecond() > 0) && upstream.isCold(this.clock.nanoTime());
	}

	private boolean hasColdPermit(Upstream upstream, Pool pool) {
		return !isLimited(upstream, pool)
				|| this.coldRate.permits(upstream.id(), pool.coldPerSecond(), upstream.coldSends());
	}

	private Optional<Upstream> recorded(Upstream chosen) {
		if ((chosen != null) && isLimited(chosen, this.pools.apply(chosen.entry().pool()))) {
			chosen.coldSends().add(this.clock.nanoTime());
		}
		return Optional.ofNullable(chosen);
	}

	// ---- Helpers

	// The age of the registration is not known, so the upstream may be taken for cold for
	// longer than it is. One that starts is cold before it says so.
	private void updateCold(Upstream upstream, boolean starts) {
		Duration cold = upstream.entry().coldRemaining();
		Pool pool = this.pools.apply(upstream.entry().pool());
		if (starts && (pool != null) && (pool.coldPerSecond() > 0) && (pool.coldStart().compareTo(cold) > 0)) {
			cold = pool.coldStart();
		}
		upstream.extendCold(this.clock.nanoTime() + cold.toNanos());
	}

	private void update(UpstreamRegistration entry, Set<String> knownPools) {
		Upstream known = this.upstreams.get(entry.id());
		if ((known == null) || !known.entry().isSameIncarnation(entry)) {
			if (known != null) {
				takeOutOfUse(known, "restarted");
			}
			Upstream added = new Upstream(entry, this.clock.nanoTime(), () -> this.startsLimited.getAsBoolean(),
					new SplittableRandom());
			this.upstreams.put(entry.id(), added);
			updateCold(added, (known != null) || this.listed);
			EventLog.log(Event.UPSTREAM_IN_USE, "upstream", entry.id(), "pool", entry.pool(), "address",
					entry.address(), "leaving", entry.leaving());
			UpstreamRegistration before = this.removed.remove(entry.id());
			if (knownPools.contains(entry.pool()) && ((before == null) || !before.isSameIncarnation(entry))) {
				added.beginStart("started");
			}
			if (this.remoteDepartures.contains(toDeparture(entry))) {
				this.client.markDeparting(added);
			}
			return;
		}
		boolean startsLeaving = entry.leaving() && !known.entry().leaving();
		known.setEntry(entry);
		updateCold(known, false);
		known.setInUse(true);
		if (startsLeaving) {
			this.client.closeIdle(known, true);
			EventLog.log(Event.UPSTREAM_OUT_OF_USE, "upstream", entry.id(), "cause", "leaving");
		}
	}

	private void removeIfExpired(Upstream upstream) {
		Duration missing = upstream.markMissing(this.clock.nanoTime());
		long left = Math.min(RECOVERY_GRACE_PERIOD.minus(this.platformRecovery.timeSinceRecovery()).toNanos(),
				MAX_MISSING_TIME.minus(missing).toNanos());
		if ((left > 0) && !upstream.entry().leaving()) {
			this.loop.schedule(this::removeMissing, left + TimeUnit.MILLISECONDS.toNanos(1), TimeUnit.NANOSECONDS);
			return;
		}
		takeOutOfUse(upstream, "entry gone");
	}

	private void takeOutOfUse(Upstream upstream, String cause) {
		this.upstreams.remove(upstream.id());
		this.removed.put(upstream.id(), upstream.entry());
		if (this.removed.size() > MAX_REMOVED) {
			this.removed.remove(this.removed.keySet().iterator().next());
		}
		upstream.setInUse(false);
		this.client.closeIdle(upstream, true);
		EventLog.log(Event.UPSTREAM_OUT_OF_USE, "upstream", upstream.id(), "cause", cause, "underWay",
				upstream.callsInFlight());
	}

	private void closeIdleConnections() {
		boolean limited = this.startsLimited.getAsBoolean();
		this.startingCount = limited
				? (int) this.upstreams.values().stream().filter((u) -> u.startPace().isLimited()).count() : 0;
		this.upstreams.values().forEach((u) -> this.client.closeIdle(u, false));
	}

	/**
	 * Whether a turn reuses a prompt that was read before.
	 */
	enum Reuse {

		/** At the engine that probably keeps the beginning of its prompt. */
		KEPT,

		/** At another engine than that. */
		MOVED,

		/** No engine is known to keep it. */
		NEW;

		private static Reuse of(Upstream chosen, KeptPrompt known) {
			return chosen.id().equals(known.upstream()) ? KEPT : MOVED;
		}

		String label() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

	/**
	 * An upstream that was selected for a call.
	 *
	 * @param upstream the upstream
	 * @param keptTokens what it probably keeps of the prompt, in tokens
	 * @param reuse whether the call reuses a prompt
	 */
	record Placed(Upstream upstream, long keptTokens, Reuse reuse) {
	}

}
