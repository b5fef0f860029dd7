package org.mangorack.member;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Verdict;
import org.mangorack.config.Settings;
import org.mangorack.config.Settings.PeerTls;
import org.mangorack.http.HttpAddress;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.Heartbeat;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PeerLinksTests {

	private static final String HOST = "127.0.0.2";

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final char[] PASSWORD = "password".toCharArray();

	private final ExecutorService traffic = Executors.newCachedThreadPool();

	private final List<PeerLinks> open = new ArrayList<>();

	@TempDir
	Path folder;

	@AfterEach
	void close() {
		this.open.forEach(PeerLinks::close);
		this.traffic.shutdownNow();
	}

	@Test
	void callsInBothDirectionsShareOneLink() throws Exception {
		HttpAddress address = freeAddress();
		PeerLinks a = start("a", "secret", null, freeAddress());
		PeerLinks b = start("b", "secret", null, address);
		awaitReachable(a, b, address);
		assertThat(echo(a, "b", "x".repeat(900_000))).isEqualTo("from a: " + "x".repeat(900_000));
		assertThat(echo(b, "a", "short")).isEqualTo("from b: short");
	}

	@Test
	void callToUnknownPeerDidNotRun() throws Exception {
		PeerLinks a = start("a", "secret", null, freeAddress());
		assertThatExceptionOfType(PeerCallException.class).isThrownBy(() -> echo(a, "nobody", "x"))
			.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.NOT_RUN));
	}

	@Test
	void callOnABrokenLinkMayHaveRun() throws Exception {
		HttpAddress address = freeAddress();
		PeerLinks a = start("a", "secret", null, freeAddress());
		PeerLinks b = start("b", "secret", null, address);
		awaitReachable(a, b, address);
		this.traffic.execute(() -> {
			pause(300);
			b.close();
		});
		CallOpen call = CallOpen.newBuilder().setKind("slow").build();
		assertThatExceptionOfType(PeerCallException.class).isThrownBy(() -> a.call("b", call, LIMIT))
			.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
	}

	// Lengths of 129 MiB and -1, encoded as varints.
	@ParameterizedTest
	@ValueSource(strings = { "80808041", "ffffffff0f" })
	void oversizedFrameClosesTheConnection(String length) throws Exception {
		HttpAddress address = freeAddress();
		PeerLinks b = start("b", "secret", null, address);
		PeerLinks a = start("a", "secret", null, freeAddress());
		awaitReachable(a, b, address);
		try (Socket socket = new Socket(address.host(), address.port())) {
			socket.setSoTimeout((int) LIMIT.toMillis());
			socket.getOutputStream().write(HexFormat.of().parseHex(length));
			socket.getOutputStream().write(new byte[100]);
			assertThat(readToEnd(socket)).isEmpty();
		}
		assertThat(echo(a, "b", "x")).isEqualTo("from a: x");
	}

	@ParameterizedTest(name = "{0}")
	@CsvSource({ "wrong secret, a, other, a", "unknown certificate, a, secret, stranger",
			"certificate of another instance, c, secret, a" })
	void unauthenticatedPeerIsRejected(String why, String name, String secret, String certificate) throws Exception {
		for (String n : List.of("a", "b", "stranger")) {
			createKey(n);
		}
		Path trust = this.folder.resolve("trust.pem");
		Files.writeString(trust, Files.readString(pem("a")) + Files.readString(pem("b")));
		HttpAddress address = freeAddress();
		PeerLinks b = start("b", "secret", tls("b", trust), address);
		PeerLinks trusted = start("a", "secret", tls("a", trust), freeAddress());
		awaitReachable(trusted, b, address);
		assertThat(echo(trusted, "b", "x")).isEqualTo("from a: x");
		trusted.close();
		PeerLinks untrusted = start(name, secret, tls(certificate, trust), freeAddress());
		for (int i = 0; i < 10; i++) {
			untrusted.maintain(Map.of("b", address, "z", address));
			pause(100);
			assertThat(untrusted.isReachable("b")).isFalse();
		}
		assertThatExceptionOfType(PeerCallException.class).isThrownBy(() -> echo(untrusted, "b", "x"));
	}

	// ---- Helpers

	private PeerLinks start(String name, String secret, PeerTls tls, HttpAddress address) throws Exception {
		Settings settings = new Settings(name, "dc1", null, null, null, null, null, "", secret, tls, null);
		PeerLinks links = new PeerLinks(settings, this.traffic, MonotonicClock.SYSTEM, Heartbeat::getDefaultInstance);
		links.register("echo", (from, call) -> CallAnswer.text(200, "from " + from + ": " + call.getPath()));
		links.register("slow", (from, call) -> {
			pause(5000);
			return CallAnswer.text(200, "late");
		});
		links.start(address);
		this.open.add(links);
		return links;
	}

	private void awaitReachable(PeerLinks a, PeerLinks b, HttpAddress addressOfB) {
		long deadline = System.nanoTime() + LIMIT.toNanos();
		while (!a.isReachable("b") || !b.isReachable("a")) {
			assertThat(System.nanoTime()).isLessThan(deadline);
			a.maintain(Map.of("b", addressOfB));
			pause(50);
		}
	}

	private static String echo(PeerLinks links, String peer, String text) throws IOException {
		CallOpen call = CallOpen.newBuilder().setKind("echo").setPath(text).build();
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		links.call(peer, call, LIMIT).body().writeTo(out);
		return out.toString(StandardCharsets.UTF_8);
	}

	// Uses keytool because the Java runtime has no public API to create certificates.
	private void createKey(String name) throws Exception {
		String store = this.folder.resolve(name + ".p12").toString();
		String tool = Path.of(System.getProperty("java.home"), "bin", "keytool").toString();
		Process process = new ProcessBuilder(tool, "-genkeypair", "-alias", "k", "-keyalg", "EC", "-dname",
				"CN=" + name, "-validity", "2", "-storetype", "PKCS12", "-keystore", store, "-storepass",
				new String(PASSWORD))
			.redirectErrorStream(true)
			.start();
		assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
		KeyStore keys = KeyStore.getInstance(Path.of(store).toFile(), PASSWORD);
		Files.writeString(pem(name), pem("CERTIFICATE", keys.getCertificate("k").getEncoded()));
		Files.writeString(this.folder.resolve(name + ".key"),
				pem("PRIVATE KEY", keys.getKey("k", PASSWORD).getEncoded()));
	}

	private static String pem(String type, byte[] bytes) {
		String text = Base64.getMimeEncoder(64, new byte[] { '\n' }).encodeToString(bytes);
		return "-----BEGIN " + type + "-----\n" + text + "\n-----END " + type + "-----\n";
	}

	private Path pem(String name) {
		return this.folder.resolve(name + ".pem");
	}

	private PeerTls tls(String name, Path trust) {
		return new PeerTls(pem(name), this.folder.resolve(name + ".key"), trust);
	}

	private static HttpAddress freeAddress() throws IOException {
		// Outgoing connections use 127.0.0.1 as their local address, so none of them
		// can occupy the port before it is bound.
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
			return new HttpAddress(HOST, socket.getLocalPort());
		}
	}

	private static byte[] readToEnd(Socket socket) throws IOException {
		try {
			return socket.getInputStream().readAllBytes();
		}
		catch (SocketException ex) {
			// The peer closed the connection with unread bytes, which resets it.
			return new byte[0];
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
