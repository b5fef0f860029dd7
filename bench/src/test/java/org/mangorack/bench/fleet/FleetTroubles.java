package org.mangorack.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.ObjectMapper;

import org.mangorack.bench.fleet.FleetProcess.Role;
import org.mangorack.bench.fleet.RequestLedger.FaultOfAll;
import org.mangorack.bench.fleet.RequestLedger.Repair;
import org.mangorack.platform.ObjectKind;

/**
 * Inflicts a seeded series of troubles on a fleet, several at a time, within what it has
 * to tolerate: never are more disks lost at a time than the tolerance. A lost disk counts
 * until all keepers have run undisturbed for {@link FleetProcesses#CATCH_UP}, whether or
 * not the group is whole again by then. If the settings relax this, it counts until the
 * group is whole, too.
 */
final class FleetTroubles implements Runnable {

	private static final int MAX_AT_ONCE = 3;

	private static final int MAX_OFFSET_MS = 1500;

	private static final int MAX_PAUSE_MS = 5000;

	private static final int MAX_ROOM = 20_000;

	private static final int MAX_FULL_MS = 3000;

	private static final int MAX_LATE_START_MS = 4000;

	private static final Duration RETIREMENT_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration DISKS_TIMEOUT = Duration.ofSeconds(60);

	private final FleetProcesses fleet;

	private final FleetRunSettings settings;

	private final Random random;

	private final Object diskLoss = new Object();

	private volatile boolean disksLost;

	private final AtomicReference<FleetProcess> retiring = new AtomicReference<>();

	private final AtomicReference<FleetProcess> lastLost = new AtomicReference<>();

	FleetTroubles(FleetProcesses fleet, FleetRunSettings settings, long seed) {
		this.fleet = fleet;
		this.settings = settings;
		this.random = new Random(seed);
	}

	FleetProcesses fleet() {
		return this.fleet;
	}

	@Override
	public void run() {
		long startedAt = System.nanoTime();
		while (System.nanoTime() - startedAt < this.settings.troubles().toNanos()) {
			boolean onlyPlanned = this.random.nextInt(4) == 0;
			int count = 1 + this.random.nextInt(MAX_AT_ONCE);
			if (onlyPlanned) {
				sleep(RequestLedger.CONTACT.toMillis());
			}
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				threads.add(start(FleetTrouble.draw(this.settings.kinds(), this.random, onlyPlanned),
						this.random.nextLong()));
				pause(this.random, MAX_OFFSET_MS);
			}
			threads.forEach(FleetTroubles::join);
			pause(this.random, MAX_PAUSE_MS);
		}
		if (this.random.nextInt(4) > 0) {
			join(start(this.random.nextBoolean() ? FleetTrouble.KILL_ALL : FleetTrouble.LOSE_DISKS_KILL_ALL,
					this.random.nextLong()));
		}
	}

	private Thread start(FleetTrouble trouble, long seed) {
		Thread thread = new Thread(() -> {
			try {
				trouble.inflictRecorded(this, new Random(seed));
			}
			catch (Exception ex) {
				this.fleet.ledger().note("could not inflict " + trouble + ": " + ex);
			}
		}, "trouble-" + trouble);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	// ---- Steps of troubles

	/**
	 * Picks some processes at random.
	 * @param from the processes to pick from
	 * @param count how many to pick
	 * @param source the source of randomness
	 * @return the processes
	 */
	List<FleetProcess> pick(List<FleetProcess> from, int count, Random source) {
		List<FleetProcess> picked = new ArrayList<>(from);
		picked.removeIf(FleetProcess::isRemoved);
		Collections.shuffle(picked, source);
		picked = picked.subList(0, Math.min(count, picked.size()));
		if (count < from.size() / 2) {
			this.fleet.ledger().note("picked " + picked);
		}
		return picked;
	}

	/**
	 * Pauses for a random time.
	 * @param source the source of randomness
	 * @param mostMillis the longest pause in milliseconds
	 */
	void pause(Random source, int mostMillis) {
		sleep(source.nextInt(mostMillis));
	}

	/**
	 * Waits for as long as a keeper that is back counts as lost.
	 */
	void awaitBack() {
		sleep(FleetProcesses.CATCH_UP.toMillis());
	}

	/**
	 * Kills some keepers and starts them again.
	 * @param keepers the keepers
	 * @param mostMillis the longest time in milliseconds for which they are down
	 * @param source the source of randomness
	 */
	void killFor(List<FleetProcess> keepers, int mostMillis, Random source) {
		inParallel(keepers, FleetProcess::kill);
		pause(source, mostMillis);
		inParallel(keepers, FleetProcess::start);
	}

	/**
	 * Fills the disk of a keeper for some seconds.
	 * @param keeper the keeper
	 * @param source the source of randomness
	 * @throws Exception if the size of its files cannot be limited
	 */
	void fillDisk(FleetProcess keeper, Random source) throws Exception {
		keeper.setDisturbed(true);
		keeper.limitFileSize(Long.toString(keeper.largestFile() + source.nextInt(MAX_ROOM)));
		pause(source, MAX_FULL_MS);
		keeper.limitFileSize("unlimited");
		keeper.setDisturbed(false);
	}

	private static void sleep(long millis) {
		ScriptedUpstream.sleep(millis);
	}

	/**
	 * Runs a step for each process, all at the same time.
	 * @param processes the processes
	 * @param step the step
	 */
	void inParallel(List<FleetProcess> processes, Step step) {
		List<Thread> threads = new ArrayList<>();
		for (FleetProcess process : processes) {
			Thread thread = new Thread(() -> {
				try {
					step.run(process);
				}
				catch (Exception ex) {
					this.fleet.ledger().note("step failed for " + process + ": " + ex);
				}
			}, "step-" + process);
			thread.setDaemon(true);
			thread.start();
			threads.add(thread);
		}
		threads.forEach(FleetTroubles::join);
	}

	/**
	 * Kills all processes and starts them again, those that lost their disks first.
	 * @param losing the keepers that lose their disks
	 * @param source the source of randomness
	 */
	void restartAll(List<FleetProcess> losing, Random source) {
		List<FleetProcess> all = List.copyOf(this.fleet.processes());
		inParallel(all, FleetProcess::kill);
		FaultOfAll fault = this.fleet.ledger().allDown();
		inParallel(losing, FleetProcess::loseDisk);
		pause(source, 1000);
		boolean late = source.nextBoolean();
		long seed = source.nextLong();
		inParallel(all, (process) -> {
			Random own = new Random(seed + process.number());
			if (late && (process.role() == Role.KEEPER) && !losing.contains(process)) {
				pause(own, MAX_LATE_START_MS);
			}
			process.start();
		});
		fault.back();
	}

	/**
	 * Loses disks of members, as soon as no other disk counts as lost.
	 * @param spared the keepers whose disks are not lost
	 * @param loss what happens to the keepers that are picked
	 * @param source the source of randomness
	 * @throws Exception if the loss fails
	 */
	void loseDisks(List<FleetProcess> spared, Loss loss, Random source) throws Exception {
		synchronized (this.diskLoss) {
			long startedAt = System.nanoTime();
			while (this.disksLost) {
				if (System.nanoTime() - startedAt > DISKS_TIMEOUT.toNanos()) {
					this.fleet.ledger().note("no disk is lost, as earlier ones are not caught up");
					return;
				}
				sleep(100);
			}
			int count = 1 + source.nextInt(this.settings.tolerance());
			List<FleetProcess> members = new ArrayList<>(this.fleet.members());
			members.removeAll(spared);
			List<FleetProcess> picked = pick(members, count, source);
			if (picked.isEmpty()) {
				return;
			}
			this.disksLost = true;
			this.lastLost.set(picked.get(0));
			this.fleet.ledger().note("disks lost: " + picked);
			loss.run(picked);
			long backAt = picked.stream().mapToLong(FleetProcess::backAt).max().getAsLong();
			awaitCatchUp(picked, backAt);
			awaitRepair(picked, backAt);
		}
	}

	private void awaitRepair(List<FleetProcess> lost, long backAt) {
		Repair repair = this.fleet.ledger().beginRepair(lost.toString());
		FleetProcesses.startDaemon("repair", () -> {
			while (!this.fleet.isClosed()) {
				if (this.fleet.isGroupWhole()) {
					repair.end(Duration.ofNanos(System.nanoTime() - backAt));
					return;
				}
				sleep(100);
			}
		});
	}

	private void awaitCatchUp(List<FleetProcess> lost, long backAt) {
		FleetProcesses.startDaemon("catch-up", () -> {
			while (!isCaughtUp(lost) && !this.fleet.isClosed()) {
				sleep(100);
			}
			this.disksLost = false;
			this.fleet.ledger()
				.note(lost + " no longer count as lost " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - backAt)
						+ " ms after they were back");
		});
	}

	private boolean isCaughtUp(List<FleetProcess> lost) {
		List<FleetProcess> keepers = new ArrayList<>(this.fleet.keepers());
		keepers.addAll(lost);
		return keepers.stream().allMatch((k) -> k.isRemoved() || k.isUndisturbedFor(FleetProcesses.CATCH_UP))
				&& (this.settings.isCatchUpTimed() || this.fleet.isGroupWhole());
	}

	/**
	 * Retires a keeper, often one that has lost its disk before, and replaces it. One
	 * keeper is retired at a time.
	 * @param source the source of randomness
	 * @throws Exception if the machine cannot be removed
	 */
	void retire(Random source) throws Exception {
		FleetProcess lostBefore = this.lastLost.get();
		FleetProcess keeper = ((lostBefore != null) && !lostBefore.isRemoved() && source.nextBoolean()) ? lostBefore
				: pick(this.fleet.keepers(), 1, source).get(0);
		if (!this.retiring.compareAndSet(null, keeper)) {
			return;
		}
		String kind = ObjectKind.RETIREMENT.plural();
		this.fleet.store().put(kind, keeper.name(), new ObjectMapper().createObjectNode().put("duration_s", 30));
		this.fleet.ledger().note("retirement of " + keeper);
		FleetProcesses.startDaemon("retirement", () -> {
			long startedAt = System.nanoTime();
			while (!this.fleet.isClosed() && (System.nanoTime() - startedAt < RETIREMENT_TIMEOUT.toNanos())) {
				if (this.fleet.store().status(kind, keeper.name()).path("state").asText().equals("completed")) {
					replace(keeper);
					break;
				}
				sleep(100);
			}
			this.fleet.store().remove(kind, keeper.name());
			this.retiring.set(null);
		});
	}

	private void replace(FleetProcess keeper) {
		try {
			this.fleet.ledger().note("retirement of " + keeper + " completed");
			keeper.remove();
			this.fleet.add(Role.KEEPER, keeper.number() + 100).start();
		}
		catch (Exception ex) {
			this.fleet.ledger().note("could not replace " + keeper + ": " + ex);
		}
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * A step for one process.
	 */
	@FunctionalInterface
	interface Step {

		void run(FleetProcess process) throws Exception;

	}

	/**
	 * The loss of the disks of some keepers.
	 */
	@FunctionalInterface
	interface Loss {

		void run(List<FleetProcess> keepers) throws Exception;

	}

}
