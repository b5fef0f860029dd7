import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Case 13: while one tenant sends many times its usual and the platform's store is down,
 * all processes on the machines that count are killed, and are back within a second.
 */
public final class QuotaAfterRestart {

	private static final int KEEPERS = 4;

	private static final int ENTRIES = 2;

	// The quota of the printed configuration.
	private static final int RATE = 102;

	// "far below what the tenant sends"
	private static final int LOWERED = 16;

	// The quota is 1.6 times the usual ("quota_x"); a hot tenant sends 7.5 times the usual.
	private static final int USUAL = 64;

	private static final int HOT = 480;

	private static final long USUAL_MS = 5000;

	// "configuration_apply_ms" 2000, and one window.
	private static final long SETTLE_MS = 7000;

	private static final long HOT_MS = 6500;

	private static final long STORE_DOWN_AFTER_MS = 2500;

	private static final long KILL_AFTER_MS = 500;

	private static final long BACK_AFTER_MS = 500;

	private static final long STORE_BACK_AFTER_MS = 2500;

	private static final int ROUNDS = 2;

	// "quota_window_s" 5, "quota_overshoot" 0.1, "quota_slack" 20.
	private static final double LIMIT = ((LOWERED * 5) + LOWERED) * 1.1 + 20;

	private static final long WINDOW = TimeUnit.SECONDS.toNanos(5);

	private final Rig rig;

	private final Map<String, Long> sentAt = new ConcurrentHashMap<>();

	private final Map<String, Long> ranAt = new ConcurrentHashMap<>();

	private final Map<String, Integer> answers = new ConcurrentHashMap<>();

	private final Map<String, ConcurrentLinkedQueue<Socket>> idle = new ConcurrentHashMap<>();

	private final ExecutorService clients = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final long startedAt = System.nanoTime();

	private int sent;

	private long checkFrom;

	private QuotaAfterRestart(Rig rig) {
		this.rig = rig;
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			status = new QuotaAfterRestart(rig).run(trouble);
			rig.note("exit %d", status);
		}
		System.exit(status);
	}

	private int run(boolean trouble) throws Exception {
		for (int i = 0; i < 3; i++) {
			this.rig.register("i-plain-" + i, "plain", this.rig.server((request, out, socket) -> {
				this.ranAt.putIfAbsent(request.id(), System.nanoTime());
				TimeUnit.MILLISECONDS.sleep(5);
				out.write(Rig.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + request.id() + "\r\nResponse-Signature: s."
						+ request.id() + "\r\nContent-Length: 2\r\n\r\nok"));
				return true;
			}), "ready");
		}
		ObjectNode configuration = this.rig.configuration(3);
		for (JsonNode tenant : configuration.path("tenants")) {
			((ObjectNode) tenant).put("rate_per_s", RATE).put("burst", RATE);
		}
		this.rig.configure(configuration.deepCopy());
		for (int i = 1; i <= KEEPERS; i++) {
			this.rig.keeper(i);
		}
		for (int i = 1; i <= ENTRIES; i++) {
			this.rig.entry(i);
		}
		for (Rig.Node node : this.rig.nodes) {
			node.start();
		}
		if (!this.rig.awaitReady(KEEPERS, 30)) {
			return 2;
		}
		send(USUAL, USUAL_MS);
		configuration.put("version", 6);
		((ObjectNode) configuration.path("tenants").path(0)).put("rate_per_s", LOWERED).put("burst", LOWERED);
		this.rig.configure(configuration.deepCopy());
		this.rig.note("tenant-a may send %d requests a second", LOWERED);
		send(USUAL, SETTLE_MS);
		this.checkFrom = System.nanoTime();
		List<Long> kills = new ArrayList<>();
		for (int round = 0; round < ROUNDS; round++) {
			send(USUAL, USUAL_MS);
			this.rig.note("tenant-a sends %d requests a second", HOT);
			Thread killing = new Thread(() -> kill(kills));
			if (trouble) {
				killing.start();
			}
			send(HOT, HOT_MS);
			this.rig.note("tenant-a sends %d requests a second", USUAL);
			if (trouble) {
				killing.join();
			}
		}
		TimeUnit.SECONDS.sleep(2);
		for (Rig.Node node : this.rig.nodes) {
			if (!node.isAlive()) {
				this.rig.note("%s does not run", node.name);
				return 2;
			}
		}
		return check(kills) ? 1 : 0;
	}

	private void kill(List<Long> kills) {
		try {
			TimeUnit.MILLISECONDS.sleep(STORE_DOWN_AFTER_MS);
			this.rig.store.setRefusing(true);
			this.rig.note("the store answers 503 to all calls");
			TimeUnit.MILLISECONDS.sleep(KILL_AFTER_MS);
			kills.add(System.nanoTime());
			for (Rig.Node keeper : this.rig.keepers()) {
				keeper.signal("KILL");
			}
			this.rig.note("SIGKILL to all %d keepers", KEEPERS);
			TimeUnit.MILLISECONDS.sleep(BACK_AFTER_MS);
			for (Rig.Node keeper : this.rig.keepers()) {
				keeper.start();
			}
			this.rig.note("all keepers started again on their disks");
			TimeUnit.MILLISECONDS.sleep(STORE_BACK_AFTER_MS);
			this.rig.store.setRefusing(false);
			this.rig.note("the store answers again");
		}
		catch (IOException | InterruptedException ex) {
			this.rig.note("could not kill: %s", ex);
		}
	}

	// ---- Clients

	private void send(int perSecond, long millis) throws InterruptedException {
		long begin = System.nanoTime();
		long count = perSecond * millis / 1000;
		for (long i = 0; i < count; i++) {
			long at = begin + (i * TimeUnit.SECONDS.toNanos(1) / perSecond);
			TimeUnit.NANOSECONDS.sleep(Math.max(0, at - System.nanoTime()));
			String entry = this.rig.entries().get(this.sent++ % ENTRIES).address();
			this.clients.execute(() -> request(entry));
		}
	}

	private void request(String entry) {
		String id = Rig.id();
		ConcurrentLinkedQueue<Socket> kept = this.idle.computeIfAbsent(entry, (e) -> new ConcurrentLinkedQueue<>());
		Socket socket = kept.poll();
		int status = 0;
		try {
			if (socket == null) {
				socket = Rig.connect(entry);
				socket.setSoTimeout(4000);
			}
			Map<String, String> headers = Map.of("Request-Id", id, "Authorization", "Token key-a", "Time-Remaining",
					"1500");
			this.sentAt.put(id, System.nanoTime());
			socket.getOutputStream().write(Rig.request("GET", "/safe/x", headers, null));
			Rig.Answer answer = Rig.Answer.of(socket.getInputStream());
			status = answer.status;
			if (!answer.headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
				kept.add(socket);
			}
			else {
				socket.close();
			}
		}
		catch (IOException ex) {
			// Counted as no answer.
		}
		this.answers.put(id, status);
	}

	// ---- Check

	private boolean check(List<Long> kills) {
		List<String> ran = new ArrayList<>(this.ranAt.keySet());
		ran.removeIf((id) -> this.sentAt.get(id) < this.checkFrom);
		ran.sort((a, b) -> Long.compare(this.sentAt.get(a), this.sentAt.get(b)));
		long origin = ran.isEmpty() ? 0 : this.sentAt.get(ran.get(0));
		int most = 0;
		long mostAt = 0;
		for (String first : ran) {
			long from = this.sentAt.get(first);
			int count = 0;
			for (String id : ran) {
				if ((this.sentAt.get(id) >= from) && (this.ranAt.get(id) <= from + WINDOW)) {
					count++;
				}
			}
			if (count > most) {
				most = count;
				mostAt = from;
			}
		}
		TreeMap<Long, Integer> perTenth = new TreeMap<>();
		ran.forEach((id) -> perTenth.merge((this.ranAt.get(id) - origin) / 100_000_000L, 1, Integer::sum));
		for (long kill : kills) {
			long tenth = (kill - origin) / 100_000_000L;
			this.rig.note("requests run in each tenth of a second, from 0.5 s before a kill to 4 s after it: %s",
					LongStream.range(tenth - 5, tenth + 40)
						.mapToObj((t) -> String.valueOf(perTenth.getOrDefault(t, 0)))
						.collect(Collectors.joining(" ")));
		}
		recordRequests();
		Map<Integer, Long> statuses = new TreeMap<>(
				this.answers.values().stream().collect(Collectors.groupingBy((s) -> s, Collectors.counting())));
		this.rig.note("requests sent %d, run %d, answers by status %s", this.sent, ran.size(), statuses);
		this.rig.note("most requests sent and run within 5 s: %d, from %.3f s after the first one; allowed %.1f", most,
				(mostAt - origin) / 1e9, LIMIT);
		return most > LIMIT;
	}

	// Writes a line for each request: when it was sent and when a server began to run it,
	// in seconds since the processes were started, and the status of its answer, or 0.
	private void recordRequests() {
		this.sentAt.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue())
			.forEach((e) -> this.rig.note("request %s sent %.3f run %s answer %d", e.getKey(), seconds(e.getValue()),
					this.ranAt.containsKey(e.getKey())
							? String.format(Locale.ROOT, "%.3f", seconds(this.ranAt.get(e.getKey()))) : "never",
					this.answers.getOrDefault(e.getKey(), 0)));
	}

	private double seconds(long at) {
		return (at - this.startedAt) / 1e9;
	}

}
