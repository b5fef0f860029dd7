package org.mangorack.journal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.mangorack.journal.proto.Entry;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.WriteRateLimiter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class JournalTests {

	private static final JournalId ID = new JournalId("a", "1");

	private static final JournalId OTHER = new JournalId("b", "1");

	private final FakeStore store = new FakeStore();

	private final CountDownLatch sealed = new CountDownLatch(1);

	private final JournalReader reader = new JournalReader(this.store, Runnable::run);

	private final Journal journal = new Journal(ID, this.store,
			new WriteRateLimiter(MonotonicClock.SYSTEM, 10_000, 10_000), MonotonicClock.SYSTEM, new Metrics(),
			this.sealed::countDown);

	@AfterEach
	void close() {
		this.journal.close();
	}

	@Test
	void entriesAreReadInTheOrderOfTheirAppends() throws Exception {
		this.journal.start();
		List<CompletableFuture<Void>> writes = new ArrayList<>();
		for (int i = 0; i < 500; i++) {
			writes.add(this.journal.append(List.of(entry(i))));
		}
		awaitAll(writes);
		assertThat(this.reader.read(ID, 0).entries()).extracting(Entry::getShard).containsExactlyElementsOf(range(500));
		assertThat(this.journal.nextSegment()).isLessThan(500);
	}

	@Test
	void lostResponseIsResolvedByReadingTheSegment() throws Exception {
		this.store.loseAnswers(1);
		this.journal.start();
		this.journal.append(List.of(entry(1))).get(10, TimeUnit.SECONDS);
		this.journal.append(List.of(entry(2))).get(10, TimeUnit.SECONDS);
		assertThat(this.reader.read(ID, 0).entries()).extracting(Entry::getShard).containsExactly(1, 2);
	}

	@Test
	void appendFailsOnceAnotherInstanceSealedTheJournal() throws Exception {
		this.journal.start();
		this.journal.append(List.of(entry(1))).get(10, TimeUnit.SECONDS);
		assertThat(this.reader.seal(ID, 0, OTHER).entries()).hasSize(1);
		assertThatExceptionOfType(ExecutionException.class)
			.isThrownBy(() -> this.journal.append(List.of(entry(2))).get(10, TimeUnit.SECONDS))
			.withCauseInstanceOf(JournalException.class);
		assertThat(this.sealed.await(10, TimeUnit.SECONDS)).isTrue();
		assertThat(this.reader.read(ID, 0).entries()).hasSize(1);
		assertThat(this.reader.seal(ID, 0, OTHER).sealed()).isTrue();
	}

	@Test
	void backlogIsWrittenAfterAnOutage() throws Exception {
		this.store.setUnreachable(true);
		this.journal.start();
		List<CompletableFuture<Void>> writes = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			writes.add(this.journal.append(List.of(entry(i))));
		}
		assertThat(writes.get(0)).isNotDone();
		this.store.setUnreachable(false);
		awaitAll(writes);
		assertThat(this.reader.read(ID, 0).entries()).hasSize(20);
		assertThat(this.journal.flush(Duration.ofSeconds(10))).isTrue();
		assertThat(this.journal.backlogBytes()).isZero();
	}

	@Test
	void closedJournalIsNotFlushed() throws Exception {
		this.store.setUnreachable(true);
		this.journal.start();
		CompletableFuture<Void> write = this.journal.append(List.of(entry(1)));
		this.journal.close();
		assertThat(this.journal.flush(Duration.ofSeconds(10))).isFalse();
		assertThat(write).isCompletedExceptionally();
	}

	private static void awaitAll(List<CompletableFuture<Void>> writes) throws Exception {
		CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0])).get(20, TimeUnit.SECONDS);
	}

	private static Entry entry(int shard) {
		return Entry.newBuilder().setShard(shard).build();
	}

	private static List<Integer> range(int count) {
		List<Integer> numbers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			numbers.add(i);
		}
		return numbers;
	}

}
