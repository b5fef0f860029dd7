import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 13: the path and the query of a request hold UTF-8 text that the client did not
 * encode with percent signs.
 */
public final class RawTarget {

	private RawTarget() {
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

	// The bytes of the text as they go over the wire, one character each.
	private static String raw(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	private static int run(Rig rig, boolean trouble) throws Exception {
		Map<String, String> ran = new ConcurrentHashMap<>();
		Rig.Handler plain = Servers.plain(rig, 5);
		rig.register("i-plain", "plain", rig.server((request, out, socket) -> {
			ran.put(request.id(), request.target);
			return plain.handle(request, out, socket);
		}), "ready");
		rig.configure(rig.configuration(3));
		for (int i = 1; i <= 4; i++) {
			rig.keeper(i);
		}
		Rig.Node entry = rig.entry(1);
		for (Rig.Node node : rig.nodes) {
			node.start();
		}
		if (!rig.awaitReady(4, 60)) {
			return 2;
		}
		List<String> targets = trouble
				? List.of("/safe/historial?vivienda=" + raw("Gij\u00f3n-12"), "/unsafe/" + raw("Gij\u00f3n") + "/cita",
						"/unsafe/piezas?taller=" + raw("Concepci\u00f3n"))
				: List.of("/safe/historial?vivienda=Gij%C3%B3n-12", "/unsafe/Gij%C3%B3n/cita",
						"/unsafe/piezas?taller=Concepci%C3%B3n");
		int changed = 0;
		int run = 0;
		for (int i = 0; i < 30; i++) {
			String target = targets.get(i % targets.size());
			String id = Rig.id();
			String method = target.startsWith("/safe") ? "GET" : "POST";
			rig.note("sent  %s %s %s", id, method, target);
			try {
				Rig.Answer answer = Rig.call(entry.address(), method, target,
						Map.of("Request-Id", id, "Authorization", "Token key-a", "Time-Remaining", "1500"),
						method.equals("POST") ? Rig.bytes("order") : null, 4000);
				rig.note("answered %s: %d", id, answer.status);
			}
			catch (IOException ex) {
				rig.note("answered %s: %s", id, ex.getMessage());
			}
			String received = ran.get(id);
			run += (received != null) ? 1 : 0;
			if ((received != null) && !received.equals(target)) {
				changed++;
				rig.note("CHANGED %s: sent %s, run as %s", id, target, received);
			}
		}
		rig.note("run %d, with another path or query than sent %d", run, changed);
		return (changed > 0) ? 1 : (((run > 0) || trouble) ? 0 : 2);
	}

}
