import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Case 12: all processes on the machines that count are killed while the system starts
 * for the first time, and are back within a second.
 */
public final class FirstStart {

	private static final int KEEPERS = 4;

	private static final long KILL_AFTER_MS = 300;

	private static final long BACK_AFTER_MS = 500;

	// "Traffic starts 15 s after the machines do."
	private static final long TRAFFIC_AT_MS = 15000;

	private static final long TRAFFIC_MS = 45000;

	private FirstStart() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			status = run(rig, trouble);
			rig.note("exit %d", status);
		}
		System.exit(status);
	}

	private static int run(Rig rig, boolean trouble) throws Exception {
		rig.register("i-engine", "engines", rig.server(Servers.engine(rig, 4)), "ready");
		rig.register("i-plain", "plain", rig.server(Servers.plain(rig, 20)), "ready");
		ObjectNode configuration = rig.configuration(3);
		for (JsonNode tenant : configuration.path("tenants")) {
			((ObjectNode) tenant).put("rate_per_s", 102).put("burst", 102);
		}
		rig.configure(configuration);
		for (int i = 1; i <= KEEPERS; i++) {
			rig.keeper(i);
		}
		rig.entry(1);
		rig.entry(2);
		long startedAt = System.nanoTime();
		for (Rig.Node node : rig.nodes) {
			node.start();
		}
		rig.note("all processes started, first_start true");
		if (trouble) {
			TimeUnit.MILLISECONDS.sleep(KILL_AFTER_MS);
			for (Rig.Node keeper : rig.keepers()) {
				keeper.signal("KILL");
			}
			rig.note("SIGKILL to all %d keepers", KEEPERS);
			TimeUnit.MILLISECONDS.sleep(BACK_AFTER_MS);
			for (Rig.Node keeper : rig.keepers()) {
				keeper.start();
			}
			rig.note("all keepers started again on their disks, first_start false");
		}
		long trafficAt = startedAt + TimeUnit.MILLISECONDS.toNanos(TRAFFIC_AT_MS);
		TimeUnit.NANOSECONDS.sleep(Math.max(0, trafficAt - System.nanoTime()));
		int sent = 0;
		int served = 0;
		while (System.nanoTime() - trafficAt < TimeUnit.MILLISECONDS.toNanos(TRAFFIC_MS)) {
			if (send(rig, sent++)) {
				served++;
			}
			TimeUnit.MILLISECONDS.sleep(200);
		}
		rig.note("group of keepers in the store: %s", rig.group());
		for (Rig.Node node : rig.nodes) {
			rig.note("%s is running: %s", node.name, node.isAlive());
			if (!node.isAlive()) {
				return 2;
			}
		}
		rig.note("requests sent %d, served %d", sent, served);
		return (served == 0) ? 1 : 0;
	}

	private static boolean send(Rig rig, int number) {
		String id = Rig.id();
		String entry = rig.entries().get(number % 2).address();
		Map<String, String> headers = Map.of("Request-Id", id, "Authorization", "Token key-a", "Time-Remaining", "3000",
				"Program", "p" + id, "Session", "p" + id, "Token-Budget", "1000", "Token-Counts", "100,80");
		List<String> call = List.of("POST /turns/x", "GET /safe/x", "POST /unsafe/x");
		String[] line = call.get(number % 3).split(" ");
		try {
			byte[] body = line[0].equals("POST") ? Rig.bytes("input") : null;
			Rig.Answer answer = Rig.call(entry, line[0], line[1], headers, body, 4000);
			boolean whole = (answer.status == 200) && answer.headers.containsKey("Response-Signature");
			rig.note("sent  %s %s %s: %d%s", id, line[0], line[1], answer.status, whole ? "" : (" " + answer.text()));
			return whole;
		}
		catch (IOException ex) {
			rig.note("sent  %s %s %s: %s", id, line[0], line[1], ex.getMessage());
			return false;
		}
	}

}
