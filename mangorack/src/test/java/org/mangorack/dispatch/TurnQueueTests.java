package org.mangorack.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TurnQueue}.
 */
class TurnQueueTests {

	private static final Duration MAX_WAIT = Duration.ofSeconds(1);

	private long now = 1;

	private final TurnQueue<Turn> queue = new TurnQueue<>(() -> this.now, 8);

	/**
	 * The first turn of each pair goes first, whichever arrives first.
	 */
	@ParameterizedTest
	@CsvSource({ "0, false, 900, 2, true, 100", "1, true, 900, 1, false, 100", "1, true, 100, 1, true, 900" })
	void turnsAreOrderedByPriorityThenBegunProgramsThenTimeLeft(int firstPriority, boolean firstBegun, long firstDue,
			int otherPriority, boolean otherBegun, long otherDue) {
		Turn first = new Turn("w", firstPriority, firstBegun, firstDue, 100);
		Turn other = new Turn("w", otherPriority, otherBegun, otherDue, 100);
		assertThat(order(first, other)).containsExactly(first, other);
		assertThat(order(other, first)).containsExactly(first, other);
	}

	/**
	 * Guards against a workspace with many large turns that keeps others waiting.
	 */
	@Test
	void workspacesAreServedFairlyByWork() {
		Turn large1 = new Turn("large", 1, true, 100, 9000);
		Turn large2 = new Turn("large", 1, true, 100, 9000);
		Turn small1 = new Turn("small", 1, true, 900, 1000);
		Turn small2 = new Turn("small", 1, true, 900, 1000);
		assertThat(order(large1, large2, small1, small2)).containsExactly(large1, small1, small2, large2);
	}

	/**
	 * Guards against turns of a low priority that wait for ever behind new ones of a high
	 * priority.
	 */
	@Test
	void waitingRaisesThePriority() {
		Turn low = new Turn("w", 2, true, 900, 100);
		offer(low);
		this.now += 3 * TurnQueue.AGEING_INTERVAL.toNanos();
		Turn high = new Turn("w", 0, true, 100, 100);
		offer(high);
		assertThat(this.queue.poll()).contains(low);
		assertThat(this.queue.poll()).contains(high);
	}

	@Test
	void aFullQueueTakesNoMoreTurns() {
		for (int i = 0; i < 8; i++) {
			assertThat(this.queue.offer(new Turn("w", 1, true, i, 1), MAX_WAIT)).isTrue();
		}
		assertThat(this.queue.offer(new Turn("w", 0, true, 1, 1), MAX_WAIT)).isFalse();
	}

	@Test
	void aTurnWhoseCallerHasGoneIsNotServed() {
		Turn gone = new Turn("w", 0, true, 1, 1);
		Turn other = new Turn("w", 1, true, 1, 1);
		offer(gone);
		offer(other);
		this.queue.remove(gone);
		assertThat(this.queue.poll()).contains(other);
		assertThat(this.queue.poll()).isEmpty();
	}

	@Test
	void turnsAreReturnedOnceTheirLongestWaitIsOver() {
		Turn turn = new Turn("w", 0, true, 1, 1);
		offer(turn);
		this.now += MAX_WAIT.toNanos() - 1;
		assertThat(this.queue.pollExpired()).isEmpty();
		this.now++;
		assertThat(this.queue.pollExpired()).containsExactly(turn);
		assertThat(this.queue.size()).isZero();
	}

	/**
	 * The operators may change the priority of a workspace while its turns wait.
	 */
	@Test
	void aChangedPriorityCountsAtOnce() {
		Turn raised = new Turn("a", 2, true, 1, 1);
		Turn other = new Turn("b", 1, true, 1, 1);
		offer(raised);
		offer(other);
		raised.priority = 0;
		assertThat(this.queue.poll()).contains(raised);
	}

	private void offer(Turn turn) {
		assertThat(this.queue.offer(turn, MAX_WAIT)).isTrue();
	}

	private List<Turn> order(Turn... turns) {
		TurnQueue<Turn> fresh = new TurnQueue<>(() -> this.now, 8);
		for (Turn turn : turns) {
			fresh.offer(turn, MAX_WAIT);
		}
		List<Turn> order = new ArrayList<>();
		for (Optional<Turn> next = fresh.poll(); next.isPresent(); next = fresh.poll()) {
			order.add(next.get());
		}
		return order;
	}

	/**
	 * A turn with a given state.
	 */
	private static final class Turn implements QueuedTurn {

		private final String workspace;

		private final boolean begun;

		private final long dueAt;

		private final long tokens;

		private int priority;

		private Turn(String workspace, int priority, boolean begun, long dueAt, long tokens) {
			this.workspace = workspace;
			this.priority = priority;
			this.begun = begun;
			this.dueAt = dueAt;
			this.tokens = tokens;
		}

		@Override
		public int priority() {
			return this.priority;
		}

		@Override
		public boolean isBegun() {
			return this.begun;
		}

		@Override
		public String workspace() {
			return this.workspace;
		}

		@Override
		public long dueAt() {
			return this.dueAt;
		}

		@Override
		public long workTokens() {
			return this.tokens;
		}

	}

}
