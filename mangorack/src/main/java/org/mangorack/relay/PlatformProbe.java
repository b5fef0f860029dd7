package org.mangorack.relay;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import org.mangorack.keeper.GroupDocument;
import org.mangorack.keeper.UpstreamObjects;
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
 * Asks the platform itself for what the keepers do not tell an entry. Entries do not
 * watch the platform: each of its calls is priced, and a watch by each entry makes their
 * number grow with the fleet. Used by one thread, but for {@link #setNeeds}.
 */
final class PlatformProbe {

	/**
	 * The time between questions of one kind, of an entry that is alone or in a small
	 * fleet.
	 */
	static final Duration QUERY_INTERVAL = Duration.ofMillis(600);

	/**
	 * From this number of entries on, each asks less often, so that their questions
	 * together stay as many. What one of them learns reaches the others by the keepers.
	 */
	static final int FULL_RATE_ENTRIES = 8;

	/**
	 * The longest pause before the first question once something is needed. Entries of a
	 * fleet often need it at the same moment, and the first answer spares most others
	 * their question.
	 */
	static final Duration MAX_INITIAL_DELAY = Duration.ofMillis(600);

	/**
	 * How long an entry waits for its seeds before it asks the platform for the group.
	 */
	static final Duration SEED_RESPONSE_TIMEOUT = Duration.ofMillis(1200);

	/**
	 * While there is no group, a fleet is just starting for the first time: nothing else
	 * is asked for, and the seeds get this long again to name the group.
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
			this.schedules.put(need, new Schedule(firstQueryAt));
		}
	}

	/**
	 * Sets what is needed from now on.
	 * @param needs what the keepers do not tell
	 */
	void setNeeds(Needs needs) {
		this.needs = needs;
	}

	/**
	 * Returns how long ago the platform last answered a question.
	 * @return the time since the answer
	 */
	Duration timeSinceResponse() {
		return this.clock.elapsed(this.lastResponseAt);
	}

	/**
	 * Asks what is needed, if it is time to.
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
			this.contact.forget();
		}
		due.forEach((need) -> this.schedules.get(need).delay(currentNeeds.interval()));
		try {
			for (Need need : due) {
				if (!need.query(this)) {
					return;
				}
			}
		}
		catch (StoreException ex) {
			recordOutcome(ex);
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
	 * What an entry may have to ask the platform itself, in the order of the questions.
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
		};

		// Returns whether the next question makes sense now.
		abstract boolean query(PlatformProbe probe) throws StoreException;

	}

	/**
	 * When one thing may be asked for.
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
	 * What an entry has to ask the platform itself.
	 *
	 * @param configuration whether the configuration was not confirmed lately
	 * @param upstreams whether no keeper has an up-to-date list of upstreams
	 * @param group whether no keeper of the group is connected
	 * @param alone whether no keeper is heard, so that nobody passes on what other
	 * entries learn
	 * @param entries how many entries there are
	 */
	record Needs(boolean configuration, boolean upstreams, boolean group, boolean alone, int entries) {

		static final Needs NONE = new Needs(false, false, false, false, 0);

		private boolean isNeeded(Need need) {
			return switch (need) {
				case GROUP -> this.group;
				case CONFIGURATION -> this.configuration;
				case UPSTREAMS -> this.upstreams;
			};
		}

		private Duration interval() {
			double scale = this.alone ? 1 : Math.max(1, this.entries / (double) FULL_RATE_ENTRIES);
			double jitter = 0.75 + (ThreadLocalRandom.current().nextDouble() * 0.5);
			return Duration.ofNanos((long) (QUERY_INTERVAL.toNanos() * scale * jitter));
		}

	}

	/**
	 * Receives answers, on the thread that asks.
	 */
	interface Listener {

		/**
		 * Reports the configuration.
		 * @param object the configuration
		 * @param queriedAt when it was certainly the newest one, on the monotonic clock
		 */
		void configuration(StoredObject object, long queriedAt);

		/**
		 * Reports all upstreams.
		 * @param news the list
		 * @param contact for how long the platform has answered these questions
		 */
		void upstreams(UpstreamNews news, ContactTracker.Contact contact);

		/**
		 * Reports the group of keepers.
		 * @param object the group
		 */
		void group(StoredObject object);

	}

}
