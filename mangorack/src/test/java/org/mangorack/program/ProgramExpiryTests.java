package org.mangorack.program;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which programs {@link ProgramTable} ends and evicts.
 */
class ProgramExpiryTests {

	private static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private static final Duration IDLE = Duration.ofMinutes(1);

	private static final Workspace SETTINGS = new Workspace(WORKSPACE, 1, 1, 1, 50, IDLE, 1000, Set.of());

	private final ManualClock clock = new ManualClock();

	private final ProgramTable table = new ProgramTable(new Object(), new DiscardingLog(), this.clock);

	// Guards against ending a program, and later forgetting its budget, while a turn of a
	// sub-agent runs for longer than the program may be idle.
	@Test
	void aProgramIsNotIdleWhileATurnOfItsSubAgentRuns() {
		finish(begin("root", 1, null));
		finish(begin("agent", 1, "root"));
		TurnDecision.Run running = begin("agent", 2, "root");
		advance(IDLE.multipliedBy(20));
		assertThat(state("root")).isEqualTo("idle");
		finish(running);
		finish(begin("root", 2, null));
	}

	// Guards against ending a sub-agent while it waits for a sub-agent of its own.
	@Test
	void aProgramBetweenARootAndAnActiveSubAgentIsNotIdle() {
		finish(begin("root", 1, null));
		finish(begin("middle", 1, "root"));
		for (int turn = 1; turn <= 4; turn++) {
			finish(begin("leaf", turn, "middle"));
			advance(IDLE.dividedBy(2));
		}
		assertThat(state("middle")).isEqualTo("idle");
		finish(begin("middle", 2, "root"));
	}

	@Test
	void aProgramWhoseSubAgentsAreIdleEnds() {
		finish(begin("root", 1, null));
		finish(begin("agent", 1, "root"));
		advance(IDLE.multipliedBy(2));
		assertThat(state("root")).isEqualTo("ended");
		assertThat(state("agent")).isEqualTo("ended");
	}

	private TurnDecision.Run begin(String program, int turn, String parent) {
		TurnRequest request = new TurnRequest(new ProgramKey(WORKSPACE, program), turn, parent, -1, HistoryMode.APPEND,
				Jsons.object().put("model", "m").put("max_tokens", 5),
				List.of(Jsons.object().put("role", "user").put("content", "text")), program + turn);
		TurnDecision.Run run = (TurnDecision.Run) this.table.begin(request, "root", SETTINGS).get();
		this.table.recordStart(run, "u");
		return run;
	}

	private void finish(TurnDecision.Run run) {
		this.table.finish(run, Jsons.object(), Jsons.object().put("role", "assistant").put("content", "a"), 1, "u");
	}

	private void advance(Duration time) {
		this.clock.advance(time);
		this.table.expire(List.of(SETTINGS));
	}

	private String state(String program) {
		return this.table.view(new ProgramKey(WORKSPACE, program)).orElseThrow().state();
	}

}
