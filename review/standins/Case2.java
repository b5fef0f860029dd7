import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A keeper that lost its disk rejoins while another keeper is down. */
final class Case2 {

	private static final int CALLERS = 6;

	private static final int ROUNDS = 3;

	private Case2() {
	}

	public static void main(String[] args) {
		Run.main(args, Case2::play);
	}

	private static int play(Run run) throws Exception {
		run.configure();
		new Server(run, "i-engine-1", "engines", run.host(2), true, 3);
		new Server(run, "i-engine-2", "engines", run.host(3), true, 3);
		run.startAll(4, 2);
		// It depends on the time that a keeper takes to start, so the same is done with other keepers if the rule held.
		for (int round = 0; round < ROUNDS; round++) {
			int status = playRound(run, round);
			if (status != Run.HELD) {
				return status;
			}
			Run.sleep(5000);
		}
		return Run.HELD;
	}

	private static int playRound(Run run, int round) throws Exception {
		List<Run.Node> keepers = run.keepers();
		Run.Node a = keepers.get(round);
		Run.Node b = keepers.get((round + 1) % keepers.size());
		Run.Node c = keepers.get((round + 2) % keepers.size());
		// First disruption: a store machine is killed for 2.8 s while turns are made.
		if (run.trouble) {
			c.kill();
		}
		long begin = System.nanoTime();
		Run.sleep(300);
		List<Run.Begun> begun = run.beginPrograms(60, 2000);
		if (begun.size() < 20) {
			run.record("too few programs could begin");
			return Run.NOT_RUN;
		}
		Run.sleep(Math.max(0, 2800 - ((System.nanoTime() - begin) / 1_000_000)));
		if (run.trouble) {
			c.start();
		}
		// Longer than catch_up_s after it is back: nothing counts as lost any more.
		Run.sleep(8000);
		// Second disruption: one machine loses its disk, another one is killed at the same moment and is back after 2.8 s.
		if (run.trouble) {
			a.kill();
			a.wipe();
			b.kill();
			a.start();
		}
		long faultAt = System.nanoTime();
		AtomicInteger missing = new AtomicInteger();
		AtomicInteger served = new AtomicInteger();
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			int caller = i;
			callers.add(Http.thread(() -> {
				for (int at = caller; System.nanoTime() - faultAt < 9_000_000_000L; at += CALLERS) {
					Run.Begun program = begun.get(at % begun.size());
					Run.Outcome next = run.turn(run.entry(1 + (at % 2)), program.program(), program.turn(), "second input");
					missing.addAndGet(next.missing() ? 1 : 0);
					served.addAndGet(next.served() ? 1 : 0);
					Run.sleep(100);
				}
			}));
		}
		Run.sleep(2800);
		if (run.trouble) {
			b.start();
		}
		for (Thread caller : callers) {
			caller.join(20_000);
		}
		run.record("group " + Json.write(run.group()));
		run.recordMissing(missing.get(), served.get());
		return (missing.get() > 0) ? Run.BROKEN : Run.HELD;
	}

}
