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
 * Tests for {@link ConfigurationFetcher}, with a simulated clock.
 */
class ConfigurationFetcherTests {

	private long now = Duration.ofDays(2).toNanos();

	private final ConfigurationHolder holder = new ConfigurationHolder(VersionedDocuments.protocol(), () -> this.now,
			new Metrics(), Runnable::run);

	private int processed;

	private final ConfigurationFetcher fetcher = new ConfigurationFetcher(this.holder, () -> this.now, Runnable::run,
			() -> this.processed++);

	private final Keeper first = new Keeper("k1");

	private final Keeper second = new Keeper("k2");

	@Test
	void onlyOneKeeperIsAskedForAVersion() {
		for (int i = 0; i < 5; i++) {
			this.fetcher.onVersionAnnounced(7, this.first);
			this.fetcher.onVersionAnnounced(7, this.second);
		}
		assertThat(this.first.requests).hasSize(1);
		assertThat(this.second.requests).isEmpty();
		this.first.respond(VersionedDocuments.compressed(7).toBuilder().setAgeMs(30).build());
		assertThat(this.holder.version()).isEqualTo(7);
		assertThat(this.holder.age()).isEqualTo(Duration.ofMillis(30));
		assertThat(this.processed).isOne();
		this.fetcher.onVersionAnnounced(7, this.second);
		assertThat(this.second.requests).isEmpty();
	}

	@Test
	void documentAgeIsCountedFromTheTimeOfTheRequest() {
		this.fetcher.onVersionAnnounced(7, this.first);
		this.now += Duration.ofMillis(400).toNanos();
		this.first.respond(VersionedDocuments.compressed(7).toBuilder().setAgeMs(30).build());
		assertThat(this.holder.age()).isEqualTo(Duration.ofMillis(430));
	}

	@Test
	void anotherKeeperIsAskedAfterAFailedRequest() {
		this.fetcher.onVersionAnnounced(7, this.first);
		this.first.respond(null);
		this.fetcher.onVersionAnnounced(7, this.second);
		assertThat(this.second.requests).hasSize(1);
	}

	@Test
	void anotherKeeperIsAskedAfterATimeout() {
		this.fetcher.onVersionAnnounced(7, this.first);
		this.now += ConfigurationFetcher.RESPONSE_TIMEOUT.toNanos();
		this.fetcher.onVersionAnnounced(7, this.first);
		assertThat(this.first.requests).as("the keeper that timed out").hasSize(1);
		this.fetcher.onVersionAnnounced(7, this.second);
		assertThat(this.second.requests).hasSize(1);
		this.first.respond(VersionedDocuments.compressed(7));
		this.fetcher.onVersionAnnounced(8, this.first);
		assertThat(this.first.requests).as("while the response of the second keeper is pending").isEmpty();
		this.second.respond(VersionedDocuments.compressed(7));
		this.fetcher.onVersionAnnounced(8, this.first);
		assertThat(this.first.requests).hasSize(1);
	}

	@Test
	void theOnlyKeeperIsAskedAgainAfterTwiceTheTimeout() {
		this.fetcher.onVersionAnnounced(7, this.first);
		this.now += 2 * ConfigurationFetcher.RESPONSE_TIMEOUT.toNanos();
		this.fetcher.onVersionAnnounced(7, this.first);
		assertThat(this.first.requests).hasSize(2);
	}

	@Test
	void anUnreadableDocumentIsNotRequestedAgainImmediately() {
		this.fetcher.onVersionAnnounced(7, this.first);
		this.first.respond(VersionedDocuments.truncated(7));
		this.fetcher.onVersionAnnounced(7, this.second);
		assertThat(this.second.requests).isEmpty();
		this.fetcher.onVersionAnnounced(8, this.second);
		assertThat(this.second.requests).hasSize(1);
		this.second.respond(null);
		this.now += ConfigurationFetcher.UNREADABLE_RETRY_DELAY.toNanos();
		this.fetcher.onVersionAnnounced(7, this.first);
		assertThat(this.first.requests).hasSize(1);
	}

	/**
	 * A keeper whose responses are sent by the test.
	 */
	private static final class Keeper implements ConfigurationSource {

		private final String name;

		private final List<Consumer<Optional<ConfigurationDocument>>> requests = new ArrayList<>();

		private Keeper(String name) {
			this.name = name;
		}

		@Override
		public String name() {
			return this.name;
		}

		@Override
		public void fetch(long known, Consumer<Optional<ConfigurationDocument>> done) {
			this.requests.add(done);
		}

		@Override
		public void offer(ConfigurationDocument document) {
			throw new UnsupportedOperationException("the fetcher does not offer documents");
		}

		private void respond(ConfigurationDocument document) {
			this.requests.remove(0).accept(Optional.ofNullable(document));
		}

	}

}
