import java.util.List;

/** A machine that lost its disk is to be emptied and taken away. */
final class Case3 {

	private Case3() {
	}

	public static void main(String[] args) {
		Run.main(args, Case3::play);
	}

	private static int play(Run run) throws Exception {
		run.configure();
		new Server(run, "i-engine-1", "engines", run.host(2), true, 3);
		new Server(run, "i-engine-2", "engines", run.host(3), true, 3);
		run.startAll(4, 2);
		List<Run.Node> keepers = run.keepers();
		Run.Node a = keepers.get(0);
		Run.Node b = keepers.get(1);
		Run.Node c = keepers.get(2);
		// A store machine is killed for 2.8 s while turns are made.
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
		Run.sleep(8000);
		// Machine A loses its disk; the operator has it emptied and taken away. TROUBLE=disk is a second control: all the
		// same, but the machine that is taken away still has its disk.
		boolean diskLost = run.trouble && !"disk".equals(System.getenv("TROUBLE"));
		if (diskLost) {
			a.kill();
			a.wipe();
		}
		run.store.put("retirements", a.name, Json.of("duration_s", 20L));
		run.record("retirement of " + a.name + " requested");
		if (diskLost) {
			Run.sleep(1000);
			a.start();
		}
		long until = System.nanoTime() + 30_000_000_000L;
		while (!"completed".equals(Json.map(run.store.get("retirements", a.name).get("status")).get("state"))) {
			if (System.nanoTime() > until) {
				run.record("the retirement was not completed in time: it is not the fault looked for");
				return Run.NOT_RUN;
			}
			Run.sleep(50);
		}
		run.record("retirement of " + a.name + " completed, group " + Json.write(run.group()));
		// The machine may be removed at once. It stays for longer than catch_up_s after it is back, so that by no reading
		// its disk counts as lost any more.
		Run.sleep(6000);
		a.kill();
		Run.sleep(6000);
		// The one loss that is tolerated.
		if (run.trouble) {
			b.kill();
			b.wipe();
			Run.sleep(1000);
			b.start();
			Run.sleep(4000);
		}
		run.record("group " + Json.write(run.group()));
		return (run.countMissing(begun) > 0) ? Run.BROKEN : Run.HELD;
	}

}
