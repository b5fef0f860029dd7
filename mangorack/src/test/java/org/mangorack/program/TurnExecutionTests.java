package org.mangorack.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Configuration;
import org.mangorack.config.Workspace;
import org.mangorack.dispatch.Dispatcher;
import org.mangorack.dispatch.ModelSlotClient;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.dispatch.SlotSource;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.http.ScriptedServer;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.observe.ManualClock;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.upstream.UpstreamClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what {@link TurnExecution} makes of error statuses of model engines.
 */
class TurnExecutionTests {

	private static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private static final long BUDGET = 100;

	private static final Workspace SETTINGS = new Workspace(WORKSPACE, 1, 1, 1, 50, Duration.ofMinutes(1), 1000,
			Set.of());

	private final PooledHttpClient http = new PooledHttpClient(Duration.ofSeconds(5));

	private final ProgramTable table = new ProgramTable(new Object(), new DiscardingLog(), new ManualClock());

	private final AtomicInteger received = new AtomicInteger();

	private ScriptedServer engine;

	@BeforeEach
	void start() throws IOException {
		this.engine = new ScriptedServer();
	}

	@AfterEach
	void stop() throws IOException {
		this.http.close();
		this.engine.close();
	}

	// Guards against telling a caller that a turn has not run, and charging nothing for
	// it, because the engine responds to a turn that it has begun with such a status.
	@ParameterizedTest
	@ValueSource(ints = { 402, 408, 429, 503 })
	void aStatusAloneDoesNotStateThatATurnDidNotRun(int status) {
		Refusal refusal = run(status);
		assertThat(refusal.status()).isEqualTo(502);
		assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.received).hasValue(1);
		assertThat(this.table.view(new ProgramKey(WORKSPACE, "p")).orElseThrow().charged()).isPositive();
	}

	@ParameterizedTest
	@ValueSource(ints = { 400, 404 })
	void anErrorOfTheRequestIsPassedOn(int status) {
		Refusal refusal = run(status);
		assertThat(refusal.status()).isEqualTo(status);
		assertThat(refusal.verdict()).isEqualTo(Verdict.RAN);
	}

	private Refusal run(int status) {
		this.engine.setScript((path, out) -> {
			this.received.incrementAndGet();
			out.write(("HTTP/1.1 " + status + " Failed\r\nContent-Length: 6\r\n\r\nfailed")
				.getBytes(StandardCharsets.ISO_8859_1));
		});
		TurnRequest request = new TurnRequest(new ProgramKey(WORKSPACE, "p"), 1, null, BUDGET, HistoryMode.APPEND,
				Jsons.object().put("model", "m").put("max_tokens", 5),
				List.of(Jsons.object().put("role", "user").put("content", "text")), "p1");
		TurnDecision.Run turn = (TurnDecision.Run) this.table.begin(request, "p", SETTINGS).get();
		TurnOutput output = new TurnOutput();
		new TurnExecution(this.table, turn, output, collaborators(), Optional::empty).run();
		return output.awaitAnswer().getLeft();
	}

	private TurnExecution.Collaborators collaborators() {
		ObjectNode document = Jsons.object();
		ObjectNode upstream = document.putObject("upstreams").putObject("engine");
		upstream.put("kind", "model").put("address", this.engine.address().toString()).put("dataCentre", "dc1");
		upstream.putArray("models").add("m");
		Configuration configuration = Configuration.read(1, document, Map.of()).get();
		return new TurnExecution.Collaborators(
				new ModelSlotClient("i-1", new NoOwner(),
						new Dispatcher(() -> configuration, "dc1", MonotonicClock.SYSTEM), () -> configuration, null),
				new RetryBudget(), new UpstreamClient(this.http), () -> false);
	}

	/**
	 * Stands for owners of pools that cannot be reached.
	 */
	private static final class NoOwner implements SlotSource {

		@Override
		public Optional<Either<Refusal, SlotAssignment>> requestSlot(SlotRequest request) {
			return Optional.empty();
		}

		@Override
		public boolean report(SlotReport report) {
			return false;
		}

	}

}
