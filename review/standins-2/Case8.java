import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A machine with a disk is removed and another one is added. While it takes over, the
 * connections to the store that are open go silent; new ones work. Long after that,
 * another machine loses its disk. Checks the rule RECOVER. Without the trouble no
 * connection goes silent, and all else is the same.
 */
final class Case8 {

	private static final double RATE = 10;

	private static final double RECOVERY_S = 12;

	/** When a machine is removed, after the start of traffic. */
	private static final double REMOVED_AT = 4;

	private static final double ADDED_AT = 5;

	/** The earliest time of the silence. It comes once the added machine watches the store. */
	private static final double SILENT_AT = 7;

	// Configuration, servers, group and retirements.
	private static final int WATCHES = 4;

	/** Long after catch_up_s (4.3 s) and contact_ms (3 s) have passed since the silence. */
	private static final double DISK_LOST_AT = 24;

	private static final double BACK_AT = 25;

	private static final double END_AT = 70;

	private record Sent(double at, int status, boolean whole) {

		private boolean isServed() {
			return (this.status == 200) && this.whole;
		}

	}

	private Case8() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Record record = new Record(Path.of(arguments[1], "record.txt"));
				Store store = new Store("127.0.0.1");
				Proxy proxy = new Proxy("127.0.0.1", store.address());
				Proxy addedProxy = new Proxy("127.0.0.1", store.address());
				Fleet fleet = new Fleet(Path.of(arguments[0]), record)) {
			exit = run(record, store, proxy, addedProxy, fleet, trouble);
			record.log("exit %d", exit);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Record record, Store store, Proxy proxy, Proxy addedProxy, Fleet fleet, boolean trouble)
			throws Exception {
		store.put("config", "main", Site.configuration(7));
		for (int i = 0; i < 6; i++) {
			new Upstream("i-engine" + i, "engine", fleet.newHost(), store, record);
		}
		List<Fleet.Machine> keepers = new ArrayList<>();
		List<Fleet.Machine> entries = new ArrayList<>();
		for (String zone : List.of("kv-a", "kv-b", "kv-c", "kv-d")) {
			keepers.add(fleet.add("storage-" + zone + "-1", "keeper", zone, proxy.address()));
		}
		for (String zone : List.of("kv-a", "kv-b")) {
			entries.add(fleet.add("frontend-" + zone + "-1", "entry", zone, proxy.address()));
		}
		for (Fleet.Machine machine : keepers) {
			machine.start();
		}
		for (Fleet.Machine machine : entries) {
			machine.start();
		}
		fleet.awaitReady(20);
		// The keepers form their group.
		TimeUnit.MILLISECONDS.sleep(4000);

		Fleet.Machine removed = keepers.get(0);
		Fleet.Machine added = fleet.add("storage-kv-a-2", "keeper", "kv-a", addedProxy.address());
		added.firstStart = false;
		Fleet.Machine emptied = keepers.get(1);
		Map<Double, Step> steps = new LinkedHashMap<>();
		steps.put(REMOVED_AT, removed::kill);
		steps.put(ADDED_AT, added::start);
		steps.put(SILENT_AT, () -> {
			for (int i = 0; (i < 100) && (addedProxy.open() < WATCHES); i++) {
				TimeUnit.MILLISECONDS.sleep(50);
			}
			TimeUnit.MILLISECONDS.sleep(300);
			if (trouble) {
				record.log("%d connections to the store are silent from now on",
						proxy.silence() + addedProxy.silence());
			}
		});
		steps.put(DISK_LOST_AT, () -> {
			emptied.kill();
			emptied.wipe();
		});
		steps.put(BACK_AT, emptied::start);

		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		ExecutorService clients = Executors.newFixedThreadPool(60);
		double start = record.seconds();
		Http.daemon(() -> steps.forEach((at, step) -> {
			try {
				TimeUnit.MICROSECONDS.sleep((long) (Math.max(0, start + at - record.seconds()) * 1e6));
				step.run();
			}
			catch (Exception ex) {
				record.log("a step failed: %s", ex);
			}
		}));
		for (int n = 0; record.seconds() < start + END_AT; n++) {
			String program = "p" + n;
			String entry = entries.get(n % entries.size()).callers();
			clients.submit(() -> {
				String id = Site.newId();
				double at = record.seconds() - start;
				Http.Response response = Site.turn(entry, id, program, null, new byte[2000]);
				sent.add(new Sent(at, response.status(), response.whole()));
				record.log("turn %s of program %s: %d %s %s", id, program, response.status(),
						response.whole() ? "whole" : "broken off, " + response.cause(),
						(response.status() >= 400) ? response.text() : "");
				return null;
			});
			double wait = start + ((n + 1) / RATE) - record.seconds();
			if (wait > 0) {
				TimeUnit.MICROSECONDS.sleep((long) (wait * 1e6));
			}
		}
		TimeUnit.MILLISECONDS.sleep(4200);
		clients.shutdownNow();
		record.log("the group in the store: %s", Json.write(store.get("keepergroups", "main", "specification")));
		double before = share(sent.stream().filter((s) -> s.at() < DISK_LOST_AT).toList());
		double after = share(sent.stream().filter((s) -> s.at() > BACK_AT + RECOVERY_S).toList());
		record.log("served before the disk was lost: %.3f, of those sent later than %.0f s after it was back: %.3f",
				before, RECOVERY_S, after);
		System.out.printf(Locale.ROOT, "served before %.3f, after recovery %.3f%n", before, after);
		if (before < 0.5) {
			return 2;
		}
		return (after < 0.25) ? 1 : 0;
	}

	private static double share(List<Sent> sent) {
		return sent.stream().filter(Sent::isServed).count() / (double) Math.max(1, sent.size());
	}

	/** A step of the case. */
	private interface Step {

		void run() throws Exception;

	}

}
