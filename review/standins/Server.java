import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound server: runs each request once on arrival and answers it, model turns as a stream of events. */
final class Server implements Http.Handler {

	final String id;

	final String address;

	final List<Http.Message> runs = new CopyOnWriteArrayList<>();

	private final Run run;

	private final boolean engine;

	private final int events;

	private long seq;

	private final long born = System.currentTimeMillis();

	Server(Run run, String id, String service, String host, boolean engine, int events) throws IOException {
		this.run = run;
		this.id = id;
		this.engine = engine;
		this.events = events;
		int port = Http.serve(host, 0, this).getLocalPort();
		this.address = host + ":" + port;
		Http.thread(() -> {
			while (true) {
				run.store.put("servers", id,
						Json.of("service", service, "address", this.address, "zone", "za", "version", "1", "slots", 8L, "state",
								"ready", "cold_remaining_ms", 0L, "seq", ++this.seq, "born", this.born));
				Thread.sleep(1200);
			}
		});
	}

	@Override
	public boolean handle(Http.Message request, OutputStream out, Socket socket)
			throws IOException, InterruptedException {
		if (!request.complete) {
			return false;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		if (request.target().equals("/health")) {
			Http.answer(out, 200, Map.of("Instance-Id", this.id), new byte[0]);
			return true;
		}
		String requestId = request.header("Request-Id");
		headers.put("Request-Id", requestId);
		String expected = request.header("Expected-Instance");
		if ((expected != null) && !expected.equals(this.id)) {
			headers.put("Not-Executed", "1");
			Http.answer(out, 421, headers, new byte[0]);
			return true;
		}
		this.runs.add(request);
		this.run.record("server " + this.id + " runs " + requestId + " " + request.method() + " " + request.target()
				+ " tenant " + request.header("Tenant") + " body " + request.body.length + " bytes");
		headers.put("Response-Signature", "s." + this.id + "." + requestId);
		if (!this.engine) {
			Http.answer(out, 200, headers, ("done " + requestId).getBytes(StandardCharsets.UTF_8));
			return true;
		}
		StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
		headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
		head.append("Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n");
		out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		for (int i = 1; i <= this.events; i++) {
			String event = "id: " + i + "\ndata: " + requestId + "-" + i + "\n\n";
			out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			Thread.sleep(20);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		return true;
	}

}
