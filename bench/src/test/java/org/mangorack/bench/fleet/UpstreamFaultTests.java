package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Upstreams that answer twice, slowly, without end or not at all, as operators of similar
 * systems met them.
 */
class UpstreamFaultTests {

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one"));
			return true;
		});
		this.fleet = new TestFleetNodes();
		this.fleet.startServing(this.folder, this.upstream);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	@Test
	void aLateSecondCopyOfAnAnswerNeverReachesTheNextCaller() throws Exception {
		this.upstream.play((request, out, socket) -> {
			byte[] answer = ScriptedUpstream.plain(request, "for " + request.header("Request-Id"));
			out.write(answer);
			out.flush();
			ScriptedUpstream.sleep(30);
			out.write(answer);
			return true;
		});
		for (int i = 0; i < 12; i++) {
			assertThat(call("GET", "/read/1", "r" + i)).startsWith("HTTP/1.1 200").endsWith("for r" + i);
			// Some of the copies come while the connection is idle, others in the next
			// call.
			ScriptedUpstream.sleep(10 * (i % 4));
		}
	}

	@Test
	void aSlowButSoundStreamIsNotCut() throws Exception {
		this.upstream.play((request, out, socket) -> {
			write(out, ScriptedUpstream.streamHead(request));
			for (int id = 1; id <= 4; id++) {
				ScriptedUpstream.sleep(700);
				write(out, ScriptedUpstream.chunk("id: " + id + "\ndata: e" + id + "\n\n"));
			}
			write(out, "0\r\n\r\n");
			return true;
		});
		String answer = call("POST", "/turns/1", "t1");
		assertThat(TestFleetNodes.isWhole(answer)).isTrue();
		assertThat(answer).contains("e1", "e2", "e3", "e4");
	}

	@Test
	void aStalledStreamThatDripsIsEndedWithItsTime() throws Exception {
		this.upstream.play((request, out, socket) -> {
			write(out,
					ScriptedUpstream.streamHead(request) + ScriptedUpstream.chunk("id: 1\ndata: e1\n\nid: 2\ndata: "));
			for (int i = 0; i < 150; i++) {
				ScriptedUpstream.sleep(100);
				write(out, ScriptedUpstream.chunk("."));
			}
			return false;
		});
		String answer = call("POST", "/turns/1", "t1");
		assertThat(answer).contains("e1").doesNotContain("no end within");
		assertThat(TestFleetNodes.isWhole(answer)).isFalse();
		assertThat(this.upstream.closed().poll(20, TimeUnit.SECONDS)).isNotNull();
	}

	@Test
	void theWorkOfASilentUpstreamIsNeitherStartedAgainNorGivenUp() throws Exception {
		ScriptedUpstream.Script late = (request, out, socket) -> {
			ScriptedUpstream.sleep(2500);
			out.write(ScriptedUpstream.plain(request, "late"));
			return true;
		};
		try (ScriptedUpstream second = new ScriptedUpstream(late)) {
			this.upstream.play(late);
			this.fleet.addUpstream("u-2", second);
			TimeUnit.MILLISECONDS.sleep(1500);
			assertThat(call("POST", "/write/1", "r1")).startsWith("HTTP/1.1 200").endsWith("late");
			assertThat(writes(this.upstream) + writes(second)).isEqualTo(1);
		}
	}

	// ---- Helpers

	private String call(String method, String path, String id) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request(method, path, id, "", "x"));
	}

	private static long writes(ScriptedUpstream upstream) {
		return upstream.received().stream().filter((r) -> r.start().contains("/write/")).count();
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(ScriptedUpstream.bytes(text));
		out.flush();
	}

}
