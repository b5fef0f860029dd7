import java.util.ArrayList;
import java.util.List;

/** Two disks are lost, one long after the other, while the keepers hold turns with large inputs. */
final class Case5 {

	/** Less than a quarter of max_body_bytes, which is 4 MiB here as on our sites. */
	private static final int INPUT_BYTES = "small".equals(System.getenv("TROUBLE")) ? 10_000 : 1_000_000;

	private static final int TURNS = 120;

	private Case5() {
	}

	public static void main(String[] args) {
		Run.main(args, Case5::play);
	}

	private static int play(Run run) throws Exception {
		run.configure();
		new Server(run, "i-engine-1", "engines", run.host(2), true, 3);
		new Server(run, "i-engine-2", "engines", run.host(3), true, 3);
		run.startAll(4, 2);
		String input = "x".repeat(INPUT_BYTES);
		List<Run.Begun> begun = new ArrayList<>();
		long begin = System.nanoTime();
		for (int i = 0; (i < TURNS) && (System.nanoTime() - begin < 40_000_000_000L); i++) {
			String program = run.newId();
			Run.Outcome turn = run.turn(run.entry(1 + (i % 2)), program, null, input);
			if (!turn.served()) {
				break;
			}
			begun.add(new Run.Begun(program, turn.id));
			Run.sleep(100);
		}
		run.record(begun.size() + " of " + TURNS + " turns were served");
		if (begun.size() < TURNS / 2) {
			return Run.NOT_RUN;
		}
		long lastTurnAt = System.nanoTime();
		List<Run.Node> keepers = run.keepers();
		// One machine loses its disk and is back at once.
		loseDisk(run, keepers.get(0));
		// More than catch_up_s after it is back: its loss no longer counts.
		Run.sleep(10_000);
		int before = serve(run, begun, 12, lastTurnAt)[0];
		run.record(before + " of 12 turns served before the final fault, group " + Json.write(run.group()));
		// The final fault: as many disks as are tolerated.
		loseDisk(run, keepers.get(1));
		// recovery_s is 12.
		Run.sleep(13_000);
		int[] after = serve(run, begun, 24, lastTurnAt);
		run.record("group " + Json.write(run.group()));
		run.record(after[0] + " of " + after[1] + " turns sent later than recovery_s after the machines were back were served");
		return (((before * 4) >= 12) && ((after[0] * 4) < after[1])) ? Run.BROKEN : Run.HELD;
	}

	private static void loseDisk(Run run, Run.Node node) throws Exception {
		if (run.trouble) {
			node.kill();
			node.wipe();
			node.start();
		}
	}

	// Sends turns by turns of new programs and of those that have begun, while these are younger than retention_s.
	private static int[] serve(Run run, List<Run.Begun> begun, int most, long lastTurnAt) {
		int served = 0;
		int sent = 0;
		for (; (sent < most) && (System.nanoTime() - lastTurnAt < 55_000_000_000L); sent++) {
			Run.Begun newest = begun.get(begun.size() - 1 - (sent / 2));
			Run.Outcome turn = (sent % 2 == 0) ? run.turn(run.entry(1), run.newId(), null, "small input")
					: run.turn(run.entry(2), newest.program(), newest.turn(), "small input");
			served += turn.served() ? 1 : 0;
		}
		return new int[] { served, sent };
	}

}
