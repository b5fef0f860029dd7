package org.mangorack.relay;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.mangorack.keeper.GroupDocument;
import org.mangorack.keeper.UpstreamObjects;
import org.mangorack.keeper.proto.Evacuations;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectList;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Queries the platform for data that the keepers do not provide to an entry. Entries do
 * not watch the platform, as each call to it is billed and a watch per entry would make
 * the number of calls grow with the fleet. Must be used from one thread, except for
 * {@link #setNeeds} and {@link #timeSinceResponse}.
 */
final class PlatformProbe {

	/**
	 * The interval between queries of one kind, for an entry that hears no keeper or
	 * belongs to a small fleet.
	 */
	static final Duration QUERY_INTERVAL = Duration.ofMillis(600);

	/**
	 * The number of entries above which each entry queries less often, so that the total
	 * query rate stays constant. The keepers pass the result of one entry on to the
	 * others.
	 */
	static final int FULL_RATE_ENTRIES = 8;

	/**
	 * The maximum random delay before the first query once something is needed. The
	 * entries of a fleet often need it at the same moment, and the first response makes
	 * most of the other queries unnecessary.
	 */
	static final Duration MAX_INITIAL_DELAY = Duration.ofMillis(600);

	/**
	 * How long an entry waits for its seeds before it first queries the platform.
	 */
	static final Duration SEED_RESPONSE_TIMEOUT = Duration.ofMillis(1200);

	/**
	 * The delay after the first query that finds no group, which means that a fleet
	 * starts for the first time. Nothing else is queried during the delay, so that the
	 * seeds can name the group.
	 */
	static final Duration GROUP_FORMATION_DELAY = Duration.ofSeconds(5);

	private final ObjectStore store;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private final Listener listener;

	private final ContactTracker contact;

	private volatile Needs needs = Needs.NONE;

	private volatile long lastResponseAt;

	private final Map<Need, Schedule> schedules = new EnumMap<>(Need.class);

	private boolean formationDelayed;

	PlatformProbe(ObjectStore store, MonotonicClock clock, Metrics metrics, Listener listener) {
		this.store = store;
		this.clock = clock;
		this.metrics = metrics;
		this.listener = listener;
		this.lastResponseAt = clock.nanoTime() - Duration.ofDays(1).toNanos();
		this.contact = new ContactTracker(clock);
		long firstQueryAt = clock.nanoTime() + SEED_RESPONSE_TIMEOUT.toNanos();
		for (Need need : Need.values()) {
			if (need != Need.EVACUATIONS) {
				this.schedules.put(need, new Schedule(firstQueryAt));
			}
		}
	}

	/**
	 * Queries evacuations too, whenever the upstreams are needed. Must be called before
	 * the first run.
	 */
	void includeEvacuations() {
		this.schedules.put(Need.EVACUATIONS, new Schedule(this.clock.nanoTime() + SEED_RESPONSE_TIMEOUT.toNanos()));
	}

	/**
	 * Sets the data that is needed from now on.
	 * @param needs the data that the keepers do not provide
	 */
	void setNeeds(Needs needs) {
		this.needs = needs;
	}

	/**
	 * Returns the time since the platform last responded to a query.
	 * @return the time since the response
	 */
	Duration timeSinceResponse() {
		return this.clock.elapsed(this.lastResponseAt);
	}

	/**
	 * Sends the queries that are needed and due.
	 */
	void run() {
		Needs currentNeeds = this.needs;
		List<Need> due = this.schedules.entrySet()
			.stream()
			.filter((s) -> s.getValue().isDue(currentNeeds.isNeeded(s.getKey())))
			.map(Map.Entry::getKey)
			.toList();
		if (due.isEmpty()) {
			return;
		}
		if (this.contact.contact().answering() && (timeSinceResponse().compareTo(KeeperReplies.MAX_CONTACT_AGE) > 0)) {
			this.contact.reset();
		}
		due.forEach((need) -> this.schedules.get(need).delay(currentNeeds.interval()));
		try {
			for (Need need : due) {
				if (!query(need)) {
					return;
				}
			}
		}
		catch (StoreException ex) {
			recordOutcome(ex);
		}
	}

	// An unexpected failure in one query must not skip the others, which are as due.
	private boolean query(Need need) throws StoreException {
		try {
			return need.query(this);
		}
		catch (RuntimeException | Error ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "place", "query of " + need);
			return true;
		}
	}

	private boolean queryGroup() throws StoreException {
		Optional<StoredObject> group = this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME);
		recordOutcome(null);
		group.ifPresent(this.listener::group);
		boolean forming = group.isEmpty() && !this.formationDelayed;
		if (forming) {
			this.formationDelayed = true;
			this.schedules.values().forEach((s) -> s.delay(GROUP_FORMATION_DELAY));
		}
		return !forming;
	}

	private boolean queryConfiguration() throws StoreException {
		long queriedAt = this.clock.nanoTime();
		ObjectList list = this.store.list(ObjectKind.FLEET_CONFIGURATION);
		recordOutcome(null);
		list.items().forEach((object) -> this.listener.configuration(object, queriedAt));
		return true;
	}

	private boolean queryUpstreams() throws StoreException {
		ObjectList list = this.store.list(ObjectKind.UPSTREAM);
		recordOutcome(null);
		this.listener.upstreams(upstreamList(list), this.contact.contact());
		return true;
	}

	private boolean queryEvacuations() throws StoreException {
		ObjectList list = this.store.list(ObjectKind.EVACUATION);
		recordOutcome(null);
		Evacuations.Builder evacuations = Evacuations.newBuilder().setVersion(KindCache.number(list.version()));
		list.items().forEach((o) -> evacuations.addDataCentre(o.name()));
		this.listener.evacuations(evacuations.build());
		return true;
	}

	private void recordOutcome(StoreException failure) {
		boolean changed;
		if (failure == null) {
			this.lastResponseAt = this.clock.nanoTime();
			changed = this.contact.answered();
		}
		else {
			changed = this.contact.failed();
			this.metrics.count("mangorack.platform.probes.failed", 1, "reason", failure.reason().name());
		}
		if (changed) {
			EventLog.log((failure != null) ? Event.PLATFORM_UNREACHABLE : Event.PLATFORM_REACHABLE, "needs", this.needs,
					"cause", (failure != null) ? failure.getMessage() : "answered");
		}
	}

	private UpstreamNews upstreamList(ObjectList list) {
		UpstreamNews.Builder news = UpstreamNews.newBuilder()
			.setVersion(KindCache.number(list.version()))
			.setWhole(true);
		list.items().forEach((o) -> news.addUpstream(UpstreamObjects.of(o)));
		return news.build();
	}

	/**
	 * The data that an entry may have to query, in the order of the queries.
	 */
	private enum Need {

		/** The group of keepers. */
		GROUP {
			@Override
			boolean query(PlatformProbe probe) throws StoreException {
				return probe.queryGroup();
			}
		},

		/** The newest configuration. */
		CONFIGURATION {
			@Override
			boolean query(PlatformProbe probe) throws StoreException {
				return probe.queryConfiguration();
			}
		},

		/** The list of upstreams. */
		UPSTREAMS {
			@Override
			boolean query(PlatformProbe probe) throws StoreException {
				return probe.queryUpstreams();
			}
		},

		/** The evacuated data centres. */
		EVACUATIONS {
			@Override
			boolean query(PlatformProbe probe) throws StoreException {
				return probe.queryEvacuations();
			}
		};

		// Returns whether to continue with the next query.
		abstract boolean query(PlatformProbe probe) throws StoreException;

	}

	/**
	 * The schedule of one kind of query.
	 */
	private final class Schedule {

		private long nextQueryAt;

		private boolean needed;

		private Schedule(long firstQueryAt) {
			this.nextQueryAt = firstQueryAt;
		}

		private boolean isDue(boolean neededNow) {
			long now = PlatformProbe.this.clock.nanoTime();
			if (neededNow && !this.needed) {
				long firstQueryAt = now
						+ (long) (MAX_INITIAL_DELAY.toNanos() * ThreadLocalRandom.current().nextDouble());
				this.nextQueryAt = (this.nextQueryAt - firstQueryAt > 0) ? this.nextQueryAt : firstQueryAt;
			}
			this.needed = neededNow;
			return neededNow && (now - this.nextQueryAt >= 0);
		}

		private void delay(Duration time) {
			this.nextQueryAt = PlatformProbe.this.clock.nanoTime() + time.toNanos();
		}

	}

	/**
	 * The data that an entry has to query from the platform.
	 *
	 * @param configuration whether the configuration was not confirmed recently
	 * @param upstreams whether no keeper has an up-to-date list of upstreams
	 * @param group whether no keeper of the group is connected
	 * @param alone whether no keeper replies, so that results of other entries do not
	 * reach this one
	 * @param entries the number of entries in the fleet
	 */
	record Needs(boolean configuration, boolean upstreams, boolean group, boolean alone, int entries) {

		static final Needs NONE = new Needs(false, false, false, false, 0);

		private boolean isNeeded(Need need) {
			return switch (need) {
				case GROUP -> this.group;
				case CONFIGURATION -> this.configuration;
				case UPSTREAMS, EVACUATIONS -> this.upstreams;
			};
		}

		private Duration interval() {
			double scale = this.alone ? 1 : Math.max(1, this.entries / (double) FULL_RATE_ENTRIES);
			double jitter = 0.75 + (ThreadLocalRandom.current().nextDouble() * 0.5);
			return Duration.ofNanos((long) (QUERY_INTERVAL.toNanos() * scale * jitter));
		}

	}

	/**
	 * Receives query results, on the querying thread.
	 */
	interface Listener {

		/**
		 * Reports the configuration.
		 * @param object the configuration
		 * @param queriedAt when the query was sent, on the monotonic clock; the
		 * configuration was the newest one then
		 */
		void configuration(StoredObject object, long queriedAt);

		/**
		 * Reports all upstreams.
		 * @param news the complete list
		 * @param contact how long the platform has been responding to queries
		 */
		void upstreams(UpstreamNews news, ContactTracker.Contact contact);

		/**
		 * Reports all evacuated data centres.
		 * @param evacuations the complete list
		 */
		void evacuations(Evacuations evacuations);

		/**
		 * Reports the group of keepers.
		 * @param object the group
		 */
		void group(StoredObject object);

	}

}
