package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;

import org.mangorack.keeper.ConfigurationSource;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationFetch}, on a clock that the tests advance.
 */
class ConfigurationFetchTests {

	private long now = Duration.ofDays(2).toNanos();

	private final ConfigurationHolder holder = new ConfigurationHolder(VersionedDocuments.protocol(), () -> this.now,
			new Metrics(), Runnable::run);

	private int taken;

	private final ConfigurationFetch fetch = new ConfigurationFetch(this.holder, () -> this.now, Runnable::run,
			() -> this.taken++);

	private final Keeper first = new Keeper("k1");

	private final Keeper second = new Keeper("k2");

	@Test
	void oneKeeperIsAskedHoweverManyNameTheVersion() {
		for (int i = 0; i < 5; i++) {
			this.fetch.heard(7, this.first);
			this.fetch.heard(7, this.second);
		}
		assertThat(this.first.asked).hasSize(1);
		assertThat(this.second.asked).isEmpty();
		this.first.answer(VersionedDocuments.packed(7).toBuilder().setAgeMs(30).build());
		assertThat(this.holder.version()).isEqualTo(7);
		assertThat(this.holder.age()).isEqualTo(Duration.ofMillis(30));
		assertThat(this.taken).isOne();
		this.fetch.heard(7, this.second);
		assertThat(this.second.asked).isEmpty();
	}

	@Test
	void theAgeOfADocumentCountsFromTheQuestion() {
		this.fetch.heard(7, this.first);
		this.now += Duration.ofMillis(400).toNanos();
		this.first.answer(VersionedDocuments.packed(7).toBuilder().setAgeMs(30).build());
		assertThat(this.holder.age()).isEqualTo(Duration.ofMillis(430));
	}

	@Test
	void anotherKeeperIsAskedWhenTheFirstBreaks() {
		this.fetch.heard(7, this.first);
		this.first.answer(null);
		this.fetch.heard(7, this.second);
		assertThat(this.second.asked).hasSize(1);
	}

	@Test
	void anotherKeeperIsAskedWhenTheFirstTakesTooLong() {
		this.fetch.heard(7, this.first);
		this.now += ConfigurationFetch.LIMIT.toNanos();
		this.fetch.heard(7, this.first);
		assertThat(this.first.asked).as("the one that takes too long").hasSize(1);
		this.fetch.heard(7, this.second);
		assertThat(this.second.asked).hasSize(1);
		this.first.answer(VersionedDocuments.packed(7));
		this.fetch.heard(8, this.first);
		assertThat(this.first.asked).as("while the second is awaited").isEmpty();
		this.second.answer(VersionedDocuments.packed(7));
		this.fetch.heard(8, this.first);
		assertThat(this.first.asked).hasSize(1);
	}

	@Test
	void aKeeperThatIsAloneIsAskedAgain() {
		this.fetch.heard(7, this.first);
		this.now += 2 * ConfigurationFetch.LIMIT.toNanos();
		this.fetch.heard(7, this.first);
		assertThat(this.first.asked).hasSize(2);
	}

	@Test
	void aDocumentThatCannotBeReadIsNotAskedForAgainAtOnce() {
		this.fetch.heard(7, this.first);
		this.first.answer(VersionedDocuments.damaged(7));
		this.fetch.heard(7, this.second);
		assertThat(this.second.asked).isEmpty();
		this.fetch.heard(8, this.second);
		assertThat(this.second.asked).hasSize(1);
		this.second.answer(null);
		this.now += ConfigurationFetch.UNREADABLE_PAUSE.toNanos();
		this.fetch.heard(7, this.first);
		assertThat(this.first.asked).hasSize(1);
	}

	/**
	 * A keeper that answers by the hand of a test.
	 */
	private static final class Keeper implements ConfigurationSource {

		private final String name;

		private final List<Consumer<Optional<ConfigurationDocument>>> asked = new ArrayList<>();

		private Keeper(String name) {
			this.name = name;
		}

		@Override
		public String name() {
			return this.name;
		}

		@Override
		public void fetch(long known, Consumer<Optional<ConfigurationDocument>> done) {
			this.asked.add(done);
		}

		@Override
		public void offer(ConfigurationDocument document) {
			throw new UnsupportedOperationException("a fetch offers nothing");
		}

		private void answer(ConfigurationDocument document) {
			this.asked.remove(0).accept(Optional.ofNullable(document));
		}

	}

}
