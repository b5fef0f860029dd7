package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for evacuations of data centres, with real nodes.
 */
class EvacuationTests {

	private static final Duration BOUND = Duration.ofSeconds(5);

	private static final String KIND = "evacuations";

	private static final String DATA_CENTRE = "dc";

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	private int calls;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(request.start().contains("/read/") ? ScriptedUpstream.plain(request, "done")
					: ScriptedUpstream.stream(request, "one"));
			return true;
		});
		this.fleet = new TestFleetNodes();
		this.fleet.setEvacuationBound(BOUND);
		this.fleet.startServing(this.folder, this.upstream);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	// Guards against requests to an evacuated data centre later than the bound, and
	// against a refusal that does not say that nothing ran.
	@Test
	void anEvacuationOfAllDataCentresIsRefusedWithinTheBoundUntilItIsDeleted() throws Exception {
		assertThat(read()).startsWith("HTTP/1.1 200");
		this.fleet.store().put(KIND, DATA_CENTRE, JsonNodeFactory.instance.objectNode());
		String refusal = awaitStatus(503);
		assertThat(refusal).contains("all_evacuated").contains("not_run");
		this.fleet.store().remove(KIND, DATA_CENTRE);
		awaitStatus(200);
	}

	// Guards against an entry that forgets an evacuation while no keeper replies.
	@Test
	void anEvacuationStaysInForceWhileNoKeeperReplies() throws Exception {
		this.fleet.store().put(KIND, DATA_CENTRE, JsonNodeFactory.instance.objectNode());
		awaitStatus(503);
		this.fleet.stopKeepers();
		TimeUnit.MILLISECONDS.sleep(1000);
		assertThat(read()).startsWith("HTTP/1.1 503").contains("all_evacuated");
	}

	private String awaitStatus(int status) throws Exception {
		long deadline = System.nanoTime() + BOUND.toNanos();
		String response = read();
		while (!response.startsWith("HTTP/1.1 " + status) && (System.nanoTime() < deadline)) {
			TimeUnit.MILLISECONDS.sleep(20);
			response = read();
		}
		assertThat(response).startsWith("HTTP/1.1 " + status);
		return response;
	}

	private String read() throws IOException {
		return TestFleetNodes.exchange(this.fleet.callers(),
				TestFleetNodes.request("GET", "/read/1", "r" + ++this.calls, "", ""));
	}

}
