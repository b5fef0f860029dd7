import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * A client names paths with letters beyond ASCII, in UTF-8 and not percent-encoded.
 * Checks the rule UNASKED: the server gets the path and the query as they were sent.
 */
final class Case10 {

	private Case10() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Small small = new Small(arguments[0], arguments[1], 4)) {
			exit = run(small, trouble);
			small.record.log("exit %d", exit);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Small small, boolean trouble) {
		List<String> targets = trouble
				? List.of("/order/piezas/calefacci\u00f3n", "/order/cita?nombre=Mu\u00f1oz", "/read/historial/Gij\u00f3n")
				: List.of("/order/piezas/calefacci%C3%B3n", "/order/cita?nombre=Mu%C3%B1oz", "/read/historial/Gij%C3%B3n");
		int served = 0;
		int changed = 0;
		for (String text : targets) {
			// The bytes of UTF-8, each as one character, as the client and the server write and read them.
			String target = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
			String id = Site.newId();
			boolean order = target.startsWith("/order/");
			Http.Response response = Http.call(small.entries.get(0).callers(), order ? "POST" : "GET", target,
					Site.headers(id, 1500), order ? Fleet.bytes("order") : new byte[0], 3000);
			small.record.log("%s %s: sent %s, answered %d", id, text, hex(target), response.status());
			for (Upstream server : small.servers) {
				for (Upstream.Run run : server.runs) {
					if (run.id().equals(id)) {
						boolean same = run.target().equals(target);
						small.record.log("%s: run %s%s", id, hex(run.target()), same ? "" : ", which was not sent");
						changed += same ? 0 : 1;
					}
				}
			}
			served += (response.status() == 200) ? 1 : 0;
		}
		System.out.printf(Locale.ROOT, "served %d, run with another path or query %d%n", served, changed);
		// A refusal of such a path would keep the rule.
		if (!trouble && (served < targets.size())) {
			return 2;
		}
		return (changed > 0) ? 1 : 0;
	}

	private static String hex(String target) {
		StringBuilder out = new StringBuilder();
		for (char c : target.toCharArray()) {
			out.append((c > ' ') && (c < 127) ? String.valueOf(c) : String.format("[%02x]", (int) c));
		}
		return out.toString();
	}

}
