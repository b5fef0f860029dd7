import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * In the first start of the system one of four machines with a disk loses its disk as soon
 * as it has written to the store, and is back two seconds later. Checks that requests are
 * served after that.
 */
final class Case7 {

	private static final double RATE = 8;

	/** How long the machine is away. */
	private static final double AWAY_S = 2;

	private static final double RECOVERY_S = 12;

	/** How long requests are sent. */
	private static final double REQUESTS_S = 40;

	private record Sent(double at, String kind, int status, boolean whole) {

		private boolean isServed() {
			return (this.status == 200) && this.whole;
		}

	}

	private Case7() {
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
		for (int i = 0; i < 3; i++) {
			new Upstream("i-engine" + i, "engine", fleet.newHost(), store, record);
			new Upstream("i-plain" + i, "plain", fleet.newHost(), store, record);
		}
		List<Fleet.Machine> keepers = new ArrayList<>();
		List<Fleet.Machine> entries = new ArrayList<>();
		for (String zone : List.of("kv-a", "kv-b", "kv-c", "kv-d")) {
			keepers.add(fleet.add("storage-" + zone + "-1", "keeper", zone, store.address()));
		}
		for (String zone : List.of("kv-a", "kv-b")) {
			entries.add(fleet.add("frontend-" + zone + "-1", "entry", zone, store.address()));
		}
		double start = record.seconds();
		for (Fleet.Machine machine : keepers) {
			machine.start();
		}
		for (Fleet.Machine machine : entries) {
			machine.start();
		}
		Fleet.Machine first = keepers.get(0);
		while (!store.hasText("keepers", first.name)) {
			if (record.seconds() > start + 20) {
				return 2;
			}
			TimeUnit.MILLISECONDS.sleep(10);
		}
		record.log("%s has written to the store", first.name);
		if (trouble) {
			first.kill();
			first.wipe();
		}
		TimeUnit.MICROSECONDS.sleep((long) (AWAY_S * 1e6));
		if (trouble) {
			first.start();
		}
		sleepUntil(record, record.seconds() + RECOVERY_S);

		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		ExecutorService clients = Executors.newFixedThreadPool(40);
		double from = record.seconds();
		for (int n = 0; record.seconds() < from + REQUESTS_S; n++) {
			int number = n;
			String entry = entries.get(n % entries.size()).callers();
			clients.submit(() -> {
				String id = Site.newId();
				double at = record.seconds();
				String kind = (number % 4 < 2) ? "turn" : "read";
				Http.Response response = kind.equals("turn") ? Site.turn(entry, id, "p" + number, null, new byte[2000])
						: Http.call(entry, "GET", "/read/a", Site.headers(id, 1500), new byte[0], 3000);
				sent.add(new Sent(at, kind, response.status(), response.whole()));
				record.log("%s %s: %d %s %s", kind, id, response.status(),
						response.whole() ? "whole" : "broken off, " + response.cause(),
						(response.status() >= 400) ? response.text() : "");
				return null;
			});
			sleepUntil(record, from + ((n + 1) / RATE));
		}
		TimeUnit.MILLISECONDS.sleep(4200);
		clients.shutdownNow();
		long served = sent.stream().filter(Sent::isServed).count();
		record.log("the group in the store: %s", Json.write(store.get("keepergroups", "main", "specification")));
		for (Fleet.Machine machine : keepers) {
			record.log("%s %s", machine.name, machine.process.isAlive() ? "runs" : "has ended");
		}
		record.log("%d of %d requests served, all sent later than %.0f s after the machine was back", served,
				sent.size(), RECOVERY_S);
		System.out.printf(Locale.ROOT, "served %d of %d%n", served, sent.size());
		if (sent.size() < 100) {
			return 2;
		}
		return (served == 0) ? 1 : 0;
	}

	private static void sleepUntil(Record record, double seconds) throws InterruptedException {
		double left = seconds - record.seconds();
		if (left > 0) {
			TimeUnit.MICROSECONDS.sleep((long) (left * 1e6));
		}
	}

}
