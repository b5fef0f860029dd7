import java.util.List;

/** A program that continues for longer than retention_s plus a margin, with a pause between its turns. */
final class Case1 {

	/** Between two turns of a program; the turn before is always younger than retention_s (60 s). */
	private static final long PAUSE_MILLIS = 45_000;

	private Case1() {
	}

	public static void main(String[] args) {
		Run.main(args, Case1::play);
	}

	private static int play(Run run) throws Exception {
		run.configure();
		Server engine = new Server(run, "i-engine-1", "engines", run.host(2), true, 3);
		run.startAll(4, 2);
		List<String> programs = List.of(run.newId(), run.newId(), run.newId(), run.newId());
		String[] last = new String[programs.size()];
		int missing = 0;
		int served = 0;
		for (int turn = 1; turn <= 3; turn++) {
			long begin = System.nanoTime();
			for (int p = 0; p < programs.size(); p++) {
				Run.Outcome outcome = run.turn(run.entry(1 + (p % 2)), programs.get(p), last[p], "input " + turn + " ");
				if (outcome.served()) {
					last[p] = outcome.id;
					served++;
				}
				else if (turn < 3) {
					run.record("a turn before the last one was not served");
					return Run.NOT_RUN;
				}
				else {
					missing += outcome.missing() ? 1 : 0;
				}
			}
			if (turn < 3) {
				// The disruption: the program stops and returns within retention_s.
				Run.sleep(run.trouble ? Math.max(0, PAUSE_MILLIS - ((System.nanoTime() - begin) / 1_000_000)) : 500);
			}
		}
		run.record(served + " turns served, " + engine.runs.size() + " run; " + missing
				+ " turns were answered 404 or 410 though the turn before ended whole " + (run.trouble ? 45 : 1)
				+ " s ago and retention_s is 60");
		return (missing > 0) ? Run.BROKEN : Run.HELD;
	}

}
