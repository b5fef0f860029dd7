import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A sound server of a service, which registers in the store and writes there. */
final class Upstream implements AutoCloseable {

	/** A request that the server runs. */
	record Run(double at, String id, String method, String target, Map<String, String> headers, byte[] body) {
	}

	final String id;

	final List<Run> runs = new CopyOnWriteArrayList<>();

	private final Http.Server server;

	private final String service;

	private final Record record;

	private final Store store;

	private final AtomicLong seq = new AtomicLong();

	private volatile boolean closed;

	/** How long a plain request or a stream takes. */
	volatile long workMillis = 20;

	volatile int events = 3;

	/**
	 * The part of the requests that the server fails after it has begun to work on them.
	 */
	volatile double failing;

	Upstream(String id, String service, String host, Store store, Record record) throws IOException {
		this.id = id;
		this.service = service;
		this.record = record;
		this.store = store;
		this.server = new Http.Server(host, 0, this::handle);
		write();
		Http.daemon(this::beat);
	}

	private void write() {
		this.store.put("servers", this.id, Json.object("service", this.service, "address", this.server.address(),
				"zone", "a", "version", "1", "slots", 8, "state", "ready", "cold_remaining_ms", 0, "seq",
				this.seq.incrementAndGet()));
	}

	private void beat() {
		while (!this.closed) {
			try {
				TimeUnit.MILLISECONDS.sleep(1200);
			}
			catch (InterruptedException ex) {
				return;
			}
			write();
		}
	}

	private void handle(Http.Request request, Http.Connection connection) throws IOException {
		if (request.path().equals("/health")) {
			connection.respond(200, "Instance-Id: " + this.id + "\r\n", new byte[0]);
			return;
		}
		String requestId = request.header("Request-Id");
		String expected = request.header("Expected-Instance");
		if ((expected != null) && !expected.equals(this.id)) {
			connection.respond(421, "Request-Id: " + requestId + "\r\nNot-Executed: 1\r\n", new byte[0]);
			return;
		}
		this.runs.add(new Run(this.record.seconds(), requestId, request.method(), request.target(),
				request.headers(), request.body()));
		this.record.log("server %s runs %s %s %s, %d bytes", this.id, requestId, request.method(), request.target(),
				request.body().length);
		try {
			TimeUnit.MILLISECONDS.sleep(this.workMillis);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
		String head = "Request-Id: " + requestId + "\r\nResponse-Signature: s." + requestId + "\r\n";
		if (ThreadLocalRandom.current().nextDouble() < this.failing) {
			this.record.log("server %s fails %s with 503, without Not-Executed", this.id, requestId);
			connection.respond(503, head, ("failed " + requestId).getBytes(StandardCharsets.UTF_8));
			return;
		}
		if (request.header("Token-Counts") == null) {
			connection.respond(200, head, ("done " + requestId).getBytes(StandardCharsets.UTF_8));
			return;
		}
		connection.send("HTTP/1.1 200 OK\r\n" + head
				+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", new byte[0]);
		for (int i = 1; i <= this.events; i++) {
			String event = "id: " + i + "\ndata: " + requestId + "-" + i + "\n\n";
			connection.send(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n", new byte[0]);
		}
		connection.send("0\r\n\r\n", new byte[0]);
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.server.close();
	}

}
