package org.mangorack.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.mangorack.call.UpstreamId;
import org.mangorack.call.Verdict;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.http.PooledHttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that {@link UpstreamClient} takes no response for that of another request.
 */
class UpstreamClientTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final String REFUSAL = "429 Too Many Requests";

	private final PooledHttpClient http = new PooledHttpClient(TIMEOUT);

	private final UpstreamClient client = new UpstreamClient(this.http);

	private ServerSocket listener;

	private Upstream upstream;

	@BeforeEach
	void start() throws IOException {
		this.listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.upstream = new Upstream(new UpstreamId("e1"), UpstreamKind.MODEL, Set.of("m"),
				new HttpAddress("127.0.0.1", this.listener.getLocalPort()), "dc", 4, false, false);
	}

	@AfterEach
	void stop() throws IOException {
		this.http.close();
		this.listener.close();
	}

	// Guards against telling a caller that a request has not run, because an earlier
	// refusal was sent once more on the same connection.
	@ParameterizedTest
	@EnumSource
	void anEarlierRefusalThatIsRepeatedIsNotTakenForTheResponse(RepeatedId repeatedId) throws Exception {
		AtomicReference<String> earlier = new AtomicReference<>("");
		serve((id) -> {
			String former = earlier.getAndSet(id);
			return (former.isEmpty() ? "" : response(REFUSAL, repeatedId.of(former))) + response(REFUSAL, id);
		});
		assertThat(send()).isEqualTo(429);
		assertThatExceptionOfType(HttpCallException.class).isThrownBy(this::send)
			.withMessageContaining("answered another request")
			.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
	}

	@ParameterizedTest
	@EnumSource
	void aConnectionWithARepeatedRefusalCarriesNoOtherRequest(RepeatedId repeatedId) throws Exception {
		serve((id) -> response(REFUSAL, id) + response(REFUSAL, repeatedId.of(id)), (id) -> response("200 OK", id));
		assertThat(send()).isEqualTo(429);
		assertThat(send()).isEqualTo(200);
	}

	// Guards against the same for an upstream that never echoes ids, whose responses
	// cannot be told apart.
	@Test
	void aConnectionWithoutIdsCarriesOneRequest() throws Exception {
		serve((id) -> response(REFUSAL, "") + response(REFUSAL, ""), (id) -> response("200 OK", ""));
		assertThat(send()).isEqualTo(429);
		assertThat(send()).isEqualTo(200);
	}

	@Test
	void aConnectionWithIdsIsReused() throws Exception {
		serve((id) -> response("200 OK", id));
		assertThat(send()).isEqualTo(200);
		assertThat(send()).isEqualTo(200);
	}

	private int send() throws IOException {
		try (HttpReply reply = this.client.send(this.upstream, "POST", "/v1/chat/completions", Map.of(),
				new byte[] { 1 }, TIMEOUT, true)) {
			reply.readAll(1024);
			return reply.status();
		}
	}

	private static String response(String status, String id) {
		return "HTTP/1.1 " + status + "\r\n" + (id.isEmpty() ? "" : (UpstreamClient.REQUEST_ID + ": " + id + "\r\n"))
				+ "Content-Length: 0\r\n\r\n";
	}

	// Serves one connection after the other.
	@SafeVarargs
	private void serve(UnaryOperator<String>... connections) {
		Thread server = new Thread(() -> {
			for (UnaryOperator<String> connection : connections) {
				serveNext(connection);
			}
		}, "scripted-upstream");
		server.setDaemon(true);
		server.start();
	}

	private void serveNext(UnaryOperator<String> response) {
		try (Socket socket = this.listener.accept()) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (String id = readRequest(in); id != null; id = readRequest(in)) {
				socket.getOutputStream().write(response.apply(id).getBytes(StandardCharsets.ISO_8859_1));
			}
		}
		catch (IOException ex) {
			// The test has ended or the client closed the connection.
		}
	}

	// Returns the id of the next request, or null at the end of the connection.
	private static String readRequest(BufferedReader in) throws IOException {
		String id = null;
		for (String line = in.readLine(); line != null; line = in.readLine()) {
			if (line.startsWith(UpstreamClient.REQUEST_ID)) {
				id = line.substring(line.indexOf(':') + 1).strip();
			}
			if (line.isEmpty()) {
				in.read();
				return id;
			}
		}
		return null;
	}

	/**
	 * The id with which an upstream repeats a response.
	 */
	enum RepeatedId {

		/** The id of the request that it belongs to. */
		FORMER {
			@Override
			String of(String id) {
				return id;
			}
		},

		/** No id. */
		NONE {
			@Override
			String of(String id) {
				return "";
			}
		};

		abstract String of(String id);

	}

}
