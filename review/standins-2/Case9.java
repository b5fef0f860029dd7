import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Turns with large inputs at the rate of the site's sheet. All processes are killed at the
 * same moment and are back a second later. Checks the rule RECOVER.
 */
final class Case9 {

	private static final double RATE = 16;

	private static final int INPUT_BYTES = 120_000;

	private static final double KILL_AT = 77;

	private static final double END_AT = 111;

	private static final double RECOVERY_S = 12;

	private record Sent(double at, int status, boolean whole) {

		private boolean isServed() {
			return (this.status == 200) && this.whole;
		}

	}

	private Case9() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Record record = new Record(Path.of(arguments[1], "record.txt"));
				Store store = new Store("127.0.0.1");
				Fleet fleet = new Fleet(Path.of(arguments[0]), record)) {
			exit = run(record, store, fleet, trouble);
			record.log("exit %d", exit);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Record record, Store store, Fleet fleet, boolean trouble) throws Exception {
		store.put("config", "main", Site.configuration(7));
		for (int i = 0; i < 6; i++) {
			new Upstream("i-engine" + i, "engine", fleet.newHost(), store, record);
		}
		List<Fleet.Machine> keepers = new ArrayList<>();
		List<Fleet.Machine> entries = new ArrayList<>();
		for (String zone : List.of("kv-a", "kv-b", "kv-c", "kv-d")) {
			keepers.add(fleet.add("storage-" + zone + "-1", "keeper", zone, store.address()));
		}
		for (String zone : List.of("kv-a", "kv-b")) {
			entries.add(fleet.add("frontend-" + zone + "-1", "entry", zone, store.address()));
		}
		List<Fleet.Machine> all = Stream.concat(keepers.stream(), entries.stream()).toList();
		for (Fleet.Machine machine : all) {
			machine.start();
		}
		fleet.awaitReady(20);
		// The keepers form their group.
		TimeUnit.MILLISECONDS.sleep(3000);

		byte[] input = new byte[INPUT_BYTES];
		Arrays.fill(input, (byte) 'x');
		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		ExecutorService clients = Executors.newFixedThreadPool(120);
		double backAt = KILL_AT;
		boolean killed = false;
		double from = record.seconds();
		for (int n = 0; record.seconds() < END_AT; n++) {
			if (!killed && (record.seconds() > KILL_AT)) {
				killed = true;
				if (trouble) {
					for (Fleet.Machine machine : all) {
						machine.process.destroyForcibly();
					}
					record.log("all processes are killed");
					for (Fleet.Machine machine : all) {
						machine.process.waitFor();
					}
					TimeUnit.MILLISECONDS.sleep(800);
					for (Fleet.Machine machine : all) {
						machine.firstStart = false;
						machine.start();
					}
				}
				backAt = record.seconds();
				from = backAt - (n / RATE);
			}
			String program = "p" + n;
			String entry = entries.get(n % entries.size()).callers();
			clients.submit(() -> {
				String id = Site.newId();
				double at = record.seconds();
				Http.Response response = Site.turn(entry, id, program, null, input);
				sent.add(new Sent(at, response.status(), response.whole()));
				record.log("turn %s of program %s, sent at %.3f: %d %s %s", id, program, at, response.status(),
						response.whole() ? "whole" : "broken off, " + response.cause(),
						(response.status() >= 400) ? response.text() : "");
				return null;
			});
			double wait = from + ((n + 1) / RATE) - record.seconds();
			if (wait > 0) {
				TimeUnit.MICROSECONDS.sleep((long) (wait * 1e6));
			}
		}
		TimeUnit.MILLISECONDS.sleep(4200);
		clients.shutdownNow();
		double back = backAt;
		double before = share(sent.stream().filter((s) -> s.at() < KILL_AT).toList());
		double after = share(sent.stream().filter((s) -> s.at() > back + RECOVERY_S).toList());
		for (Fleet.Machine keeper : keepers) {
			long failures = keeper.log().lines().filter((l) -> l.contains("OutOfMemoryError")).count();
			record.log("%s: %s, %d records of OutOfMemoryError", keeper.name,
					keeper.process.isAlive() ? "runs" : "ended with " + keeper.process.exitValue(), failures);
		}
		record.log("served before: %.3f, of those sent later than %.0f s after the processes were back: %.3f", before,
				RECOVERY_S, after);
		System.out.printf(Locale.ROOT, "served before %.3f, after recovery %.3f%n", before, after);
		if (before < 0.9) {
			return 2;
		}
		return (after < 0.25) ? 1 : 0;
	}

	private static double share(List<Sent> sent) {
		return sent.stream().filter(Sent::isServed).count() / (double) Math.max(1, sent.size());
	}

}
