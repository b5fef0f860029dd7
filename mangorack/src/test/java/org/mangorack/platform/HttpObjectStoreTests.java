package org.mangorack.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Jsons;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.http.ScriptedServer;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link HttpObjectStore}.
 */
class HttpObjectStoreTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int EXCESSIVE_BYTES = 64 * 1024 * 1024;

	private final PooledHttpClient client = new PooledHttpClient(TIMEOUT);

	private final List<String> delivered = new ArrayList<>();

	private HttpServer server;

	private HttpObjectStore store;

	private volatile String body;

	@BeforeEach
	void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", (exchange) -> {
			byte[] bytes = this.body.getBytes(StandardCharsets.UTF_8);
			try (exchange) {
				exchange.sendResponseHeaders(200, bytes.length);
				exchange.getResponseBody().write(bytes);
			}
		});
		this.server.start();
		this.store = new HttpObjectStore(new HttpAddress("127.0.0.1", this.server.getAddress().getPort()), TIMEOUT,
				this.client, new Metrics());
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.server.stop(0);
	}

	static Stream<String> oddObjects() {
		return Stream.of(object("\"odd\"", "[".repeat(1200) + "]".repeat(1200)), object("\"odd\"", "7".repeat(2000)),
				object("\"odd\"", "{\"x\":1,\"x\":2}"), object("17", "{}"), object("\"\"", "{}"), "{}", "null", "[]");
	}

	@ParameterizedTest
	@MethodSource("oddObjects")
	void anUnreadableObjectLeavesTheOthersListed(String odd) throws StoreException {
		this.body = "{\"metadata\":{\"resourceVersion\":\"9\"},\"items\":[" + object("\"a\"", "{}") + "," + odd + ","
				+ object("\"b\"", "{}") + "]}";
		ObjectList list = this.store.list(ObjectKind.KEY);
		assertThat(list.items()).extracting(StoredObject::name).containsExactly("a", "b");
		assertThat(list.version()).isEqualTo("9");
	}

	@ParameterizedTest
	@MethodSource("oddObjects")
	void anUnreadableObjectLeavesTheOthersWatched(String odd) throws StoreException {
		this.body = modified(object("\"a\"", "{}")) + modified(odd) + "null\n17\n" + modified(object("\"b\"", "{}"));
		this.store.watch(ObjectKind.KEY, "7", new Recorder());
		assertThat(this.delivered).startsWith("changed a", "progress 8")
			.endsWith("changed b", "progress 8")
			.doesNotContain("changed odd", "changed ", "progress ");
	}

	@Test
	void aWatchedObjectThatBecomesUnreadableIsNoLongerUsed() throws StoreException {
		this.body = modified(object("\"a\"", "[".repeat(1200) + "]".repeat(1200)));
		this.store.watch(ObjectKind.KEY, "7", new Recorder());
		assertThat(this.delivered).containsExactly("deleted a", "progress 8");
	}

	@Test
	void anEventThatIsCutOffFailsTheWatch() {
		this.body = modified(object("\"a\"", "{}")) + modified(object("\"b\"", "{}")).substring(0, 60);
		assertThatExceptionOfType(StoreException.class)
			.isThrownBy(() -> this.store.watch(ObjectKind.KEY, "7", new Recorder()));
		assertThat(this.delivered).containsExactly("changed a", "progress 8");
	}

	// Guards against running out of memory because of one faulty store.
	@Test
	void anEndlessEventIsCut() throws Exception {
		AtomicInteger written = new AtomicInteger();
		try (ScriptedServer endless = new ScriptedServer()) {
			endless.setScript(ScriptedServer.Script.endless("HTTP/1.1 200 OK\r\n\r\n{\"type\":\"", "x", EXCESSIVE_BYTES,
					written));
			HttpObjectStore faulty = new HttpObjectStore(endless.address(), TIMEOUT, this.client, new Metrics());
			assertThatExceptionOfType(StoreException.class)
				.isThrownBy(() -> faulty.watch(ObjectKind.KEY, "7", new Recorder()));
		}
		assertThat(written.get()).isLessThan(EXCESSIVE_BYTES);
	}

	// Guards against a write that is taken for done because its status is below 300.
	@ParameterizedTest
	@ValueSource(strings = { "000 X", "0200 OK", "+200 OK" })
	void aWriteWithAnInvalidStatusIsNotTakenForDone(String status) throws IOException {
		String created = object("\"a\"", "{}");
		try (ScriptedServer faulty = new ScriptedServer()) {
			faulty.setScript((path, out) -> out
				.write(("HTTP/1.1 " + status + "\r\nContent-Length: " + created.length() + "\r\n\r\n" + created)
					.getBytes(StandardCharsets.ISO_8859_1)));
			HttpObjectStore failing = new HttpObjectStore(faulty.address(), TIMEOUT, this.client, new Metrics());
			assertThatExceptionOfType(StoreException.class)
				.isThrownBy(() -> failing.create(ObjectKind.KEY, "a", Jsons.object()))
				.satisfies((ex) -> assertThat(ex.reason()).isEqualTo(StoreException.Reason.UNKNOWN));
		}
	}

	private static String object(String name, String content) {
		return "{\"metadata\":{\"name\":" + name + ",\"resourceVersion\":\"8\"},\"spec\":" + content + "}";
	}

	private static String modified(String object) {
		return "{\"type\":\"MODIFIED\",\"object\":" + object + "}\n";
	}

	/**
	 * Records what a watch delivers.
	 */
	private final class Recorder implements WatchListener {

		@Override
		public void changed(StoredObject object) {
			HttpObjectStoreTests.this.delivered.add("changed " + object.name());
		}

		@Override
		public void deleted(StoredObject object) {
			HttpObjectStoreTests.this.delivered.add("deleted " + object.name());
		}

		@Override
		public void progress(String version) {
			HttpObjectStoreTests.this.delivered.add("progress " + version);
		}

	}

}
