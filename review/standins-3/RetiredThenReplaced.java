import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Case 11: a store machine is retired, another one is removed and replaced, and later a
 * single disk is lost.
 */
public final class RetiredThenReplaced {

	private static final int CONTACT_MS = 3000;

	private static final int CATCH_UP_MS = 4300;

	private static final int RECOVERY_MS = 12000;

	private static final int WINDOW_MS = 10000;

	// Turns sent and served: before the last loss, and later than recovery_s after it.
	private static final AtomicIntegerArray SENT = new AtomicIntegerArray(3);

	private static final AtomicIntegerArray SERVED = new AtomicIntegerArray(3);

	// 0 stands for the time that is not counted, 1 for before, 2 for after.
	private static final AtomicInteger WINDOW = new AtomicInteger();

	private RetiredThenReplaced() {
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
		rig.register("i-engine-1", "engines", rig.server(Servers.engine(rig, 4)), "ready");
		rig.register("i-engine-2", "engines", rig.server(Servers.engine(rig, 4)), "ready");
		ObjectNode configuration = rig.configuration(3);
		for (JsonNode tenant : configuration.path("tenants")) {
			((ObjectNode) tenant).put("rate_per_s", 102).put("burst", 102);
		}
		rig.configure(configuration);
		for (int i = 1; i <= 4; i++) {
			rig.keeper(i);
		}
		rig.entry(1);
		rig.entry(2);
		for (Rig.Node node : rig.nodes) {
			node.start();
		}
		if (!rig.awaitReady(4, 60)) {
			return 2;
		}
		AtomicBoolean ended = new AtomicBoolean();
		for (int i = 0; i < 4; i++) {
			int program = i;
			Rig.daemon(() -> program(rig, program, ended));
		}
		TimeUnit.SECONDS.sleep(3);
		Rig.Node retired = rig.keepers().get(3);
		rig.store.put("retirements", retired.name, Rig.JSON.createObjectNode().put("duration_s", 8));
		rig.note("operator: %s is to be emptied", retired.name);
		if (!awaitCompleted(rig, retired)) {
			return 2;
		}
		retired.kill();
		rig.note("%s is completed and removed with its disk; members %s", retired.name, members(rig));
		TimeUnit.SECONDS.sleep(5);
		Rig.Node removed = rig.keepers().get(0);
		if (trouble) {
			removed.kill();
			rig.note("%s is removed for good", removed.name);
			TimeUnit.SECONDS.sleep(2);
			Rig.Node successor = rig.keeper(5);
			successor.startAsNew();
			rig.note("%s takes its place, with an empty disk at another address", successor.name);
		}
		TimeUnit.MILLISECONDS.sleep(CONTACT_MS + CATCH_UP_MS);
		rig.note("the successor has had contact_ms + catch_up_s; members %s", members(rig));
		WINDOW.set(1);
		TimeUnit.MILLISECONDS.sleep(WINDOW_MS);
		WINDOW.set(0);
		Rig.Node lost = rig.keepers().get(1);
		lost.kill();
		rig.note("%s loses its disk", lost.name);
		TimeUnit.SECONDS.sleep(1);
		lost.startWithoutDisk();
		rig.note("%s is back with an empty disk", lost.name);
		TimeUnit.MILLISECONDS.sleep(RECOVERY_MS);
		WINDOW.set(2);
		TimeUnit.MILLISECONDS.sleep(WINDOW_MS);
		WINDOW.set(0);
		ended.set(true);
		rig.note("group in the store: %s", rig.group());
		double before = SERVED.get(1) / (double) Math.max(1, SENT.get(1));
		double after = SERVED.get(2) / (double) Math.max(1, SENT.get(2));
		rig.note("before the last loss %d of %d turns served, later than recovery_s after it %d of %d", SERVED.get(1),
				SENT.get(1), SERVED.get(2), SENT.get(2));
		if (before < 0.25) {
			return 2;
		}
		return (after < 0.25) ? 1 : 0;
	}

	private static boolean awaitCompleted(Rig rig, Rig.Node retired) throws InterruptedException {
		for (int i = 0; i < 300; i++) {
			if (rig.store.status("retirements", retired.name).path("state").asText().equals("completed")) {
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
		return false;
	}

	private static String members(Rig rig) {
		StringBuilder names = new StringBuilder();
		rig.group().path("members").forEach((m) -> names.append(m.path("instance").asText()).append(' '));
		return names.toString().strip();
	}

	// A program whose turns follow each other; it begins anew when a turn fails.
	private static void program(Rig rig, int number, AtomicBoolean ended) {
		String previous = null;
		for (int turn = 0; !ended.get(); turn++) {
			String id = Rig.id();
			Map<String, String> headers = new LinkedHashMap<>(Map.of("Request-Id", id, "Authorization", "Token key-a",
					"Time-Remaining", "3000", "Program", "p" + number, "Session", "p" + number, "Token-Budget",
					"100000000", "Token-Counts", "100,80"));
			if (previous != null) {
				headers.put("Previous-Turn", previous);
			}
			int window = WINDOW.get();
			SENT.incrementAndGet(window);
			String outcome;
			try {
				Rig.Answer answer = Rig.call(rig.entries().get(turn % 2).address(), "POST", "/turns/x", headers,
						Rig.bytes("input of " + id + "\n"), 4000);
				previous = (answer.status == 200) ? id : null;
				outcome = answer.status + ((answer.status == 200) ? "" : (" " + answer.text()));
			}
			catch (IOException ex) {
				previous = null;
				outcome = String.valueOf(ex.getMessage());
			}
			if (previous != null) {
				SERVED.incrementAndGet(window);
			}
			rig.note("sent  %s p%d: %s", id, number, outcome);
			try {
				TimeUnit.MILLISECONDS.sleep(250);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
