package org.mangorack.bench.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.bench.fleet.ProgramCaller.Turn;
import org.mangorack.bench.fleet.ProgramCaller.Turns;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that nothing that was accepted is lost in seeded runs of entries and keepers as
 * processes, while they are stopped, killed, frozen and reconfigured and lose as many
 * disks as they have to tolerate. The system property {@code mangorack.fleet.seeds} asks
 * for other runs: a seed, or the first and last one with a dash in between. These take
 * their size from {@code mangorack.fleet.keepers}, {@code entries}, {@code tolerance},
 * {@code callers}, {@code upstreams} (of each of two pools) and {@code seconds} (of
 * troubles); {@code kinds} names the troubles, separated by commas; {@code faults} is how
 * many of a hundred responses of upstreams have an {@link UpstreamFault}, and
 * {@code faultKinds} names these. A lost disk counts for the promised time only, whether
 * or not the group is whole again; with {@code timed} set to {@code false} it counts
 * until the group is whole, for machines that are too slow. They take their code from
 * {@code mangorack.fleet.root} (the root of a built repository), and keep their logs
 * below {@code mangorack.fleet.folder}.
 */
class RandomisedFleetRunTests {

	private static final Duration RECOVERY = Duration.ofSeconds(15);

	private static final Duration LAST_OF_RECOVERY = Duration.ofSeconds(4);

	private static final int RECOVERY_TURNS_PER_UPSTREAM = 24;

	private static final int MAX_RECOVERY_TURNS = 100;

	private static final int VERIFIERS = 16;

	private static final int MAX_VERIFIED = 1500;

	private static final int FAULTS = 30;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	Path temporary;

	static Stream<FleetRunSettings> runs() {
		Set<FleetTrouble> all = EnumSet.allOf(FleetTrouble.class);
		Set<FleetTrouble> fullDisks = EnumSet.of(FleetTrouble.FULL_DISK, FleetTrouble.LOSE_DISKS_AFTER_FULL_DISK);
		Set<FleetTrouble> lostDisks = EnumSet.of(FleetTrouble.KILL_KEEPERS, FleetTrouble.LOSE_DISKS_AFTER_KILL);
		return FleetRunSettings.fromProperties(new FleetRunSettings(1, 5, 4, 1, 12, 2, Duration.ofSeconds(30), all, 0),
				new FleetRunSettings(2, 6, 4, 2, 12, 2, Duration.ofSeconds(30), all, 0),
				new FleetRunSettings(1, 4, 4, 1, 12, 2, Duration.ofSeconds(45), fullDisks, 0),
				new FleetRunSettings(2, 4, 4, 1, 12, 2, Duration.ofSeconds(45), lostDisks, 0),
				new FleetRunSettings(3, 4, 2, 1, 12, 2, Duration.ofSeconds(20), all, FAULTS));
	}

	@ParameterizedTest
	@MethodSource("runs")
	void nothingThatWasAcceptedIsLost(FleetRunSettings settings) throws Exception {
		RequestLedger ledger = new RequestLedger();
		Path folder = Files.createDirectories(settings.folder(this.temporary));
		try (FleetProcesses fleet = new FleetProcesses(settings, folder, ledger)) {
			fleet.start();
			ledger.note("started: " + settings);
			Random random = new Random(settings.seed());
			Turns turns = new Turns();
			AtomicBoolean ended = new AtomicBoolean();
			FleetTroubles troubles = new FleetTroubles(fleet, settings, random.nextLong());
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < settings.callers(); i++) {
				callers.add(start(new ProgramCaller(fleet, turns, random.nextLong(), ended)));
			}
			troubles.run();
			verifyRecovery(fleet, settings, turns);
			int before = turns.size();
			ended.set(true);
			join(callers);
			fleet.endUpstreamFaults();
			verify(fleet, turns);
			ledger.note(settings + ": " + before + " turns, " + ledger.counts());
			ledger.note("s until a turn was served after each fault of all: " + ledger.timesToServe()
				.stream()
				.map((time) -> (time != null) ? String.valueOf(time.toMillis() / 1e3) : "never")
				.toList());
			ledger.note(ledger.describeRepairs());
			ledger.note("answers that no upstream gave to the caller: " + ledger.mixedCounts());
			ledger.note("outcomes in the last " + LAST_OF_RECOVERY.toSeconds() + " s of the recovery: "
					+ ledger.recoveryCounts());
			ledger.note("passed on, but closed without an answer in touch: " + ledger.closed());
			ledger.explain(fleet.processes());
		}
		assertThat(ledger.violations()).as(settings.toString()).isEmpty();
	}

	// Continues turns while the callers go on.
	private static void verifyRecovery(FleetProcesses fleet, FleetRunSettings settings, Turns turns)
			throws InterruptedException {
		long backAt = fleet.ledger().lastBackAt();
		sleepUntil(backAt + RECOVERY.minus(LAST_OF_RECOVERY).toNanos());
		// Planned work may have gone on for longer than the recovery.
		long beginAt = System.nanoTime();
		long endAt = beginAt + LAST_OF_RECOVERY.toNanos();
		Queue<Turn> sample = turns
			.sample(Math.min(MAX_RECOVERY_TURNS, RECOVERY_TURNS_PER_UPSTREAM * settings.upstreams()));
		fleet.ledger()
			.note(String.format("continuing %d turns from %.3f s to %.3f s after the last machine was back",
					sample.size(), (beginAt - backAt) / 1e9, (endAt - backAt) / 1e9));
		fleet.ledger().setRecovering(true);
		List<Thread> verifiers = new ArrayList<>();
		for (Turn turn : sample) {
			ProgramCaller caller = new ProgramCaller(fleet, turns, verifiers.size(), new AtomicBoolean());
			verifiers.add(start(() -> caller.verifyUntil(turn, endAt)));
		}
		sleepUntil(endAt);
		fleet.ledger().setRecovering(false);
		join(verifiers);
	}

	private static void sleepUntil(long at) {
		ScriptedUpstream.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(at - System.nanoTime())));
	}

	private static void verify(FleetProcesses fleet, Turns turns) throws InterruptedException {
		Queue<Turn> sample = turns.sample(MAX_VERIFIED);
		fleet.ledger().note("continuing " + sample.size() + " of " + turns.size() + " turns");
		List<Thread> verifiers = new ArrayList<>();
		for (int i = 0; i < VERIFIERS; i++) {
			ProgramCaller caller = new ProgramCaller(fleet, turns, i, new AtomicBoolean());
			verifiers.add(start(() -> {
				for (Turn turn = sample.poll(); turn != null; turn = sample.poll()) {
					caller.verify(turn);
				}
			}));
		}
		join(verifiers);
	}

	private static Thread start(Runnable task) {
		Thread thread = new Thread(task, "caller");
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private static void join(List<Thread> threads) throws InterruptedException {
		for (Thread thread : threads) {
			thread.join();
		}
	}

}
