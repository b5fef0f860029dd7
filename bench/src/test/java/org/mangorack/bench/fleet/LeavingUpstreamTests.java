package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for an upstream that announces in its responses that it is leaving, while the
 * platform still lists it as ready.
 */
class LeavingUpstreamTests {

	private static final int CALLS = 25;

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream leaving;

	private ScriptedUpstream staying;

	private volatile String extraHeaders = "Server-Leaving: 1\r\n";

	private volatile String interimResponse = "";

	private volatile int status = 200;

	private int calls;

	@BeforeEach
	void start() throws Exception {
		this.leaving = new ScriptedUpstream((request, out, socket) -> {
			if (!request.start().contains("/read/")) {
				out.write(ScriptedUpstream.stream(request, "one"));
				return true;
			}
			out.write(ScriptedUpstream.bytes(this.interimResponse + "HTTP/1.1 " + this.status + " Done\r\nRequest-Id: "
					+ request.header("Request-Id") + "\r\nResponse-Signature: s\r\nKeep-Alive: timeout=5\r\n"
					+ this.extraHeaders + "Content-Length: 4\r\n\r\ndone"));
			return true;
		});
		this.staying = new ScriptedUpstream((request, out, socket) -> {
			out.write(request.start().contains("/read/") ? ScriptedUpstream.plain(request, "done")
					: ScriptedUpstream.stream(request, "one"));
			return true;
		});
		this.fleet = new TestFleetNodes();
		this.fleet.startServing(this.folder, this.leaving);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.leaving.close();
		this.staying.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "Server-Leaving: 1\r\n", "server-leaving:1\r\n", "Server-Leaving: true\r\n",
			"Server-Leaving: 1\r\nServer-Leaving: 1\r\n", "Server-Leaving: 0\r\nServer-Leaving: 1\r\n",
			"Server-Leaving:\r\n" })
	void anUpstreamThatSaysSoGetsNoNewRequests(String leavingHeaders) throws Exception {
		this.extraHeaders = leavingHeaders;
		addStaying();
		assertThat(readsAt(this.leaving, this.fleet.callers())).isZero();
	}

	@Test
	void anUpstreamThatIsNotLeavingStaysInUse() throws Exception {
		this.extraHeaders = "Server-Leaving: 0\r\n";
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
	}

	@Test
	void itIsRefusedAtOnceIfNoOtherUpstreamIsLeft() throws Exception {
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 503").contains("not_run");
	}

	@Test
	void anInterimAnswerCounts() throws Exception {
		this.extraHeaders = "";
		this.interimResponse = "HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n";
		addStaying();
		assertThat(readsAt(this.leaving, this.fleet.callers())).isZero();
	}

	@Test
	void theHeaderOfAnotherUpstreamAtTheAddressIsIgnored() throws Exception {
		this.status = 421;
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 503");
		this.status = 200;
		this.extraHeaders = "";
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
	}

	@Test
	void keptConnectionsAreClosed() throws Exception {
		this.extraHeaders = "";
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
		this.extraHeaders = "Server-Leaving: 1\r\n";
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
		assertThat(this.leaving.closed().poll(20, TimeUnit.SECONDS)).isNotNull();
	}

	@Test
	void aListThatStillSaysReadyDoesNotBringItBack() throws Exception {
		addStaying();
		this.fleet.addUpstream("u-1", this.leaving);
		this.fleet.addUpstream("u-3", this.staying);
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(readsAt(this.leaving, this.fleet.callers())).isZero();
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aRestartedUpstreamIsUsedAgain(boolean sameAddress) throws Exception {
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
		this.extraHeaders = "";
		this.fleet.addUpstream("u-1", sameAddress ? this.leaving : this.staying, 2);
		awaitReads(sameAddress ? this.leaving : this.staying, this.fleet.callers());
	}

	@Test
	void otherEntriesAreNotified() throws Exception {
		HttpAddress first = this.fleet.callers();
		addStaying();
		this.fleet.startEntry(0);
		this.fleet.awaitServing();
		int before = this.leaving.received().size();
		// The second entry sends no requests meanwhile, so it can learn of the
		// announcement only from others.
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(readsAt(this.leaving, this.fleet.callers())).isZero();
		assertThat(this.leaving.received()).hasSize(before);
		assertThat(readsAt(this.leaving, first)).isZero();
	}

	@Test
	void anEntryThatStartsLaterIsNotified() throws Exception {
		addStaying();
		TimeUnit.MILLISECONDS.sleep(500);
		this.fleet.startEntry(0);
		this.fleet.awaitServing();
		assertThat(readsAt(this.leaving, this.fleet.callers())).isZero();
	}

	// ---- Helpers

	// Lets the leaving upstream announce it while it is the only one, then adds another.
	private void addStaying() throws Exception {
		assertThat(read(this.fleet.callers())).startsWith("HTTP/1.1 200");
		assertThat(this.leaving.received()).isNotEmpty();
		this.fleet.addUpstream("u-2", this.staying);
		awaitReads(this.staying, this.fleet.callers());
	}

	private void awaitReads(ScriptedUpstream upstream, HttpAddress entry) throws Exception {
		int before = upstream.received().size();
		for (int i = 0; (i < 500) && (upstream.received().size() == before); i++) {
			read(entry);
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(upstream.received().size()).isGreaterThan(before);
	}

	private int readsAt(ScriptedUpstream upstream, HttpAddress entry) throws Exception {
		int before = upstream.received().size();
		for (int i = 0; i < CALLS; i++) {
			assertThat(read(entry)).startsWith("HTTP/1.1 200");
		}
		return upstream.received().size() - before;
	}

	private String read(HttpAddress entry) throws IOException {
		return TestFleetNodes.exchange(entry, TestFleetNodes.request("GET", "/read/1", "r" + ++this.calls, "", ""));
	}

}
