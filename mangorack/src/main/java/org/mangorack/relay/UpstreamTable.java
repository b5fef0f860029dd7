package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.Departures;
import org.mangorack.keeper.proto.Departure;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;

/**
 * The upstreams of all pools, and the choice among them. Used by the thread for traffic
 * only.
 */
final class UpstreamTable {

	/**
	 * How long upstreams that are missing after an outage of the platform are still used:
	 * those that live announce themselves again within two seconds.
	 */
	static final Duration RETURN_LIMIT = Duration.ofMillis(2100);

	/**
	 * How long a missing upstream is used at most, whatever the platform went through. An
	 * upstream may stop two seconds after its entry is gone; the rest is for the way of
	 * the news and of the request.
	 */
	static final Duration MISSING_LIMIT = Duration.ofMillis(1600);

	/**
	 * How long keepers are told of a departure: several beats, so that one that gets lost
	 * does no harm.
	 */
	static final Duration DEPARTURE_NEWS = Duration.ofSeconds(3);

	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

	private final EventLoop loop;

	private final FleetProtocol protocol;

	private final UpstreamClient client;

	private final MonotonicClock clock;

	private final UpstreamChoice<Upstream> choice;

	private final Map<String, Upstream> upstreams = new HashMap<>();

	private final Set<String> unreadable = new HashSet<>();

	// What the platform holds, as far as it can be read.
	private final Map<String, UpstreamEntry> announced = new HashMap<>();

	// Departures that this entry was told by the upstreams themselves.
	private final Departures ownDepartures;

	private final Departures heardDepartures;

	private final PlatformReturn platformReturn;

	private long version;

	UpstreamTable(EventLoop loop, FleetProtocol protocol, UpstreamClient client, MonotonicClock clock,
			String dataCentre) {
		this.loop = loop;
		this.platformReturn = new PlatformReturn(clock);
		this.ownDepartures = new Departures(clock);
		this.heardDepartures = new Departures(clock);
		this.protocol = protocol;
		this.client = client;
		this.clock = clock;
		this.choice = new UpstreamChoice<>(new SplittableRandom(), dataCentre);
		loop.scheduleWithFixedDelay(new GuardedTask("idle upstream connections", this::sweep),
				SWEEP_INTERVAL.toMillis(), SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	// ---- Knowledge

	/**
	 * Returns which changes are known.
	 * @return the version of the platform that the entries show; 0 before any
	 */
	long version() {
		return this.version;
	}

	/**
	 * Takes over what a source of news knows of the platform.
	 * @param source a keeper, or this entry's own questions
	 * @param contact for how long the platform has answered it
	 */
	void heardPlatform(String source, ContactTracker.Contact contact) {
		this.platformReturn.heard(source, contact);
	}

	/**
	 * Takes over what changed since the version that is known, or all entries. Older news
	 * are ignored.
	 * @param news the changes
	 */
	void take(UpstreamNews news) {
		if (news.getVersion() <= this.version) {
			return;
		}
		this.version = news.getVersion();
		if (news.getWhole()) {
			Set<String> listed = new HashSet<>();
			news.getUpstreamList().forEach((u) -> listed.add(u.getName()));
			this.announced.keySet().retainAll(listed);
		}
		news.getGoneList().forEach(this.announced::remove);
		news.getUpstreamList().forEach((u) -> read(u.getName(), u.getDocument()));
		retireMissing();
	}

	private void read(String id, ByteString document) {
		Optional<UpstreamEntry> entry = Optional.empty();
		try {
			entry = this.protocol.upstream(id, Jsons.parse(document.toByteArray()));
		}
		catch (IOException ex) {
			EventLog.log(Event.UPSTREAM_UNREADABLE, ex, "upstream", id);
		}
		if (entry.isPresent()) {
			this.announced.put(id, entry.get());
			this.unreadable.remove(id);
			update(entry.get());
		}
		else {
			this.announced.remove(id);
			if (this.unreadable.add(id)) {
				EventLog.log(Event.UPSTREAM_UNREADABLE, "upstream", id, "entry", document.toStringUtf8());
			}
		}
	}

	private void retireMissing() {
		for (Upstream u : List.copyOf(this.upstreams.values())) {
			if (!this.announced.containsKey(u.id())) {
				missing(u);
			}
		}
	}

	/**
	 * Takes over the calls of other entries.
	 * @param load calls under way by upstream
	 */
	void setLoadElsewhere(List<Load> load) {
		Map<String, Integer> calls = new HashMap<>();
		Map<String, Double> paces = new HashMap<>();
		load.forEach((l) -> {
			calls.merge(l.getUpstream(), l.getCalls(), Math::max);
			if (l.getPace() > 0) {
				paces.merge(l.getUpstream(), l.getPace(), Math::max);
			}
		});
		this.upstreams.forEach((id, u) -> {
			u.setUnderWayElsewhere(calls.getOrDefault(id, 0));
			u.setPace(paces.getOrDefault(id, 1.0));
		});
	}

	/**
	 * Returns what other entries are to know of this one's calls, once.
	 * @return calls under way and answers since the last time, by upstream
	 */
	List<Load> takeLoad() {
		return this.upstreams.values()
			.stream()
			.map(Upstream::takeLoad)
			.filter((l) -> (l.getCalls() > 0) || (l.getAnswers() > 0))
			.toList();
	}

	/**
	 * Returns what other entries are to know of upstreams that leave.
	 * @return the latest departures that this entry was told by the upstreams
	 */
	List<Departure> departures() {
		this.upstreams.values()
			.stream()
			.filter(Upstream::isDeparting)
			.map((u) -> start(u.entry()))
			.filter((start) -> !this.heardDepartures.contains(start))
			.forEach(this.ownDepartures::note);
		return this.ownDepartures.all(DEPARTURE_NEWS);
	}

	/**
	 * Takes over what other entries were told by upstreams.
	 * @param departures starts of upstreams that leave
	 */
	void takeDepartures(List<Departure> departures) {
		for (Departure d : departures) {
			Upstream known = this.upstreams.get(d.getUpstream());
			boolean news = this.heardDepartures.note(d) && (known != null);
			if (news && this.heardDepartures.contains(start(known.entry()))) {
				this.client.markDeparting(known);
			}
		}
	}

	private static Departure start(UpstreamEntry entry) {
		return Departure.newBuilder()
			.setUpstream(entry.id())
			.setAddress(entry.address().toString())
			.setStartedAt(entry.startedAt())
			.build();
	}

	// ---- Choice

	/**
	 * Chooses an upstream for a call.
	 * @param pool the pool
	 * @param tried upstreams that the call was sent to before
	 * @param affinity names an object whose calls are better kept together, or
	 * {@code null}
	 * @return the upstream, or empty if there is none
	 */
	Optional<Upstream> choose(String pool, Set<Upstream> tried, String affinity) {
		List<Upstream> candidates = new ArrayList<>();
		for (Upstream u : this.upstreams.values()) {
			if (u.entry().pool().equals(pool) && u.isInUse() && !tried.contains(u)) {
				candidates.add(u);
			}
		}
		return Optional.ofNullable(this.choice.choose(candidates, affinity, this.clock.nanoTime()));
	}

	// ---- Helpers

	private void update(UpstreamEntry entry) {
		Upstream known = this.upstreams.get(entry.id());
		if ((known == null) || !known.entry().isSameStart(entry)) {
			if (known != null) {
				retire(known, "started again");
			}
			Upstream fresh = new Upstream(entry, this.clock.nanoTime());
			this.upstreams.put(entry.id(), fresh);
			EventLog.log(Event.UPSTREAM_IN_USE, "upstream", entry.id(), "pool", entry.pool(), "address",
					entry.address(), "leaving", entry.leaving());
			if (this.heardDepartures.contains(start(entry))) {
				this.client.markDeparting(fresh);
			}
			return;
		}
		boolean leaves = entry.leaving() && !known.entry().leaving();
		known.setEntry(entry);
		known.setInUse(true);
		if (leaves) {
			this.client.closeIdle(known, true);
			EventLog.log(Event.UPSTREAM_OUT_OF_USE, "upstream", entry.id(), "cause", "leaving");
		}
	}

	private void missing(Upstream upstream) {
		Duration missing = upstream.noteMissing(this.clock.nanoTime());
		long left = Math.min(RETURN_LIMIT.minus(this.platformReturn.sinceReturn()).toNanos(),
				MISSING_LIMIT.minus(missing).toNanos());
		if ((left > 0) && !upstream.entry().leaving()) {
			this.loop.schedule(this::retireMissing, left + TimeUnit.MILLISECONDS.toNanos(1), TimeUnit.NANOSECONDS);
			return;
		}
		retire(upstream, "entry gone");
	}

	private void retire(Upstream upstream, String cause) {
		this.upstreams.remove(upstream.id());
		upstream.setInUse(false);
		this.client.closeIdle(upstream, true);
		EventLog.log(Event.UPSTREAM_OUT_OF_USE, "upstream", upstream.id(), "cause", cause, "underWay",
				upstream.underWay());
	}

	private void sweep() {
		this.upstreams.values().forEach((u) -> this.client.closeIdle(u, false));
	}

}
