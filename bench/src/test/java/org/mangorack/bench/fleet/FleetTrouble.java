package org.mangorack.bench.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.mangorack.bench.fleet.RequestLedger.Disturbance;

/**
 * What is done to a fleet of processes from outside, by signals and files.
 */
enum FleetTrouble {

	/** Entries are stopped one after the other and started again. */
	ROLLING_STOP(true, 2) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> entries = run.pick(run.fleet().entries(), 1 + (run.fleet().entries().size() / 4),
					random);
			for (FleetProcess entry : entries) {
				entry.stop(FleetProcesses.GRACE);
				run.pause(random, 1000);
				entry.start();
				run.pause(random, 1000);
			}
		}

	},

	/** Several entries are stopped at the same time and started again. */
	STOP_TOGETHER(true, 2) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> entries = run.pick(run.fleet().entries(), 1 + (run.fleet().entries().size() / 6),
					random);
			run.inParallel(entries, (entry) -> entry.stop(FleetProcesses.GRACE));
			run.inParallel(entries, FleetProcess::start);
		}

	},

	/** A keeper is stopped and started again. */
	STOP_KEEPER(false, 1) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			FleetProcess keeper = run.pick(run.fleet().keepers(), 1, random).get(0);
			keeper.stop(FleetProcesses.GRACE);
			run.pause(random, 3000);
			keeper.start();
		}

	},

	/** Half of the processes are told that their settings have changed. */
	RELOAD(true, 1) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> all = run.fleet().processes();
			for (FleetProcess process : run.pick(all, all.size() / 2, random)) {
				run.fleet().writeSettings(process);
				process.signal("HUP");
			}
		}

	},

	/** The operator writes a few versions of the configuration. */
	CONFIGURATION(true, 1) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			for (int i = 0; i < 3; i++) {
				run.fleet().configure();
				run.pause(random, 1000);
			}
		}

	},

	/** Some entries crash and are started again. */
	KILL_ENTRIES(false, 1) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> entries = run.pick(run.fleet().entries(), 1 + (run.fleet().entries().size() / 4),
					random);
			run.inParallel(entries, FleetProcess::kill);
			run.pause(random, 2000);
			run.inParallel(entries, FleetProcess::start);
		}

	},

	/** One keeper or two crash, and are started again some seconds later. */
	KILL_KEEPERS(false, 6) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			run.killFor(run.pick(run.fleet().keepers(), 1 + random.nextInt(2), random), 8000, random);
		}

	},

	/** One process or two stand still for some seconds. */
	FREEZE(false, 3) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> frozen = run.pick(run.fleet().processes(), 1 + random.nextInt(2), random);
			for (FleetProcess process : frozen) {
				process.setDisturbed(true);
				process.signal("STOP");
			}
			run.pause(random, 5000);
			for (FleetProcess process : frozen) {
				process.signal("CONT");
				process.setDisturbed(false);
			}
		}

	},

	/** All processes are killed at once and are back soon, some of them seconds later. */
	KILL_ALL(false, 2) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			run.restartAll(List.of(), random);
		}

	},

	/** As many disks as are tolerated are lost. */
	LOSE_DISKS(false, 6) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			run.loseDisks(List.of(), (lost) -> {
				run.inParallel(lost, FleetProcess::loseDisk);
				run.pause(random, 2000);
				run.inParallel(lost, FleetProcess::start);
			}, random);
		}

	},

	/**
	 * As many disks as are tolerated are lost while all other processes are killed.
	 */
	LOSE_DISKS_KILL_ALL(false, 4) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			run.loseDisks(List.of(), (lost) -> run.restartAll(lost, random), random);
		}

	},

	/**
	 * A keeper is to be emptied. Once nothing depends on it, it is removed with its disk
	 * and another machine is added.
	 */
	RETIRE(true, 4) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			run.retire(random);
		}

	},

	/**
	 * A member is down while turns are made. Once it is back, disks are lost while other
	 * members are down.
	 */
	LOSE_DISKS_AFTER_KILL(false, 4) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> members = run.pick(run.fleet().members(), 2, random);
			run.killFor(members.subList(0, 1), 8000, random);
			run.awaitBack();
			run.loseDisks(members, (lost) -> {
				run.inParallel(lost, FleetProcess::loseDisk);
				run.inParallel(members.subList(1, members.size()), FleetProcess::kill);
				run.pause(random, 1000);
				run.inParallel(lost, FleetProcess::start);
				run.pause(random, 4000);
				run.inParallel(members, FleetProcess::start);
			}, random);
		}

	},

	/** The disk of a keeper is full for some seconds, and often it crashes later. */
	FULL_DISK(false, 5) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> keepers = run.pick(run.fleet().members(), 1, random);
			run.fillDisk(keepers.get(0), random);
			if (random.nextInt(3) > 0) {
				run.pause(random, 5000);
				run.killFor(keepers, 1000, random);
			}
		}

	},

	/**
	 * The disk of a member is full for some seconds. Later another is down while turns
	 * are made, the first one crashes, and disks of others are lost.
	 */
	LOSE_DISKS_AFTER_FULL_DISK(false, 4) {

		@Override
		void inflict(FleetTroubles run, Random random) throws Exception {
			List<FleetProcess> members = run.pick(run.fleet().members(), 2, random);
			run.fillDisk(members.get(0), random);
			run.awaitBack();
			run.killFor(members.subList(1, members.size()), 4000, random);
			run.awaitBack();
			run.killFor(members.subList(0, 1), 1000, random);
			run.awaitBack();
			run.loseDisks(members, (lost) -> {
				run.inParallel(lost, FleetProcess::loseDisk);
				run.pause(random, 2000);
				run.inParallel(lost, FleetProcess::start);
			}, random);
		}

	};

	private final boolean planned;

	private final int weight;

	FleetTrouble(boolean planned, int weight) {
		this.planned = planned;
		this.weight = weight;
	}

	/**
	 * Draws a kind.
	 * @param kinds the kinds that may be drawn
	 * @param random the source of randomness
	 * @param onlyPlanned whether only planned work is drawn, if any is allowed
	 * @return the kind
	 */
	static FleetTrouble draw(Set<FleetTrouble> kinds, Random random, boolean onlyPlanned) {
		List<FleetTrouble> urn = new ArrayList<>();
		for (FleetTrouble trouble : kinds) {
			urn.addAll(Collections.nCopies(trouble.weight, trouble));
		}
		if (onlyPlanned && urn.stream().anyMatch((trouble) -> trouble.planned)) {
			urn.removeIf((trouble) -> !trouble.planned);
		}
		return urn.get(random.nextInt(urn.size()));
	}

	/**
	 * Inflicts this trouble and ends it.
	 * @param run the run
	 * @param random the source of randomness
	 * @throws Exception if a process cannot be started or signalled
	 */
	abstract void inflict(FleetTroubles run, Random random) throws Exception;

	/**
	 * Inflicts this trouble. Planned work is recorded as a whole; for other troubles each
	 * process records when it is disturbed, as troubles wait for each other.
	 * @param run the run
	 * @param random the source of randomness
	 * @throws Exception if a process cannot be started or signalled
	 */
	final void inflictRecorded(FleetTroubles run, Random random) throws Exception {
		if (!this.planned) {
			run.fleet().ledger().note("trouble " + name());
			inflict(run, random);
			return;
		}
		Disturbance disturbance = run.fleet().ledger().beginPlanned(name());
		try {
			inflict(run, random);
		}
		finally {
			run.fleet().ledger().end(disturbance);
		}
	}

}
