package org.mangorack.relay;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationHolder}, with a simulated clock.
 */
class ConfigurationHolderTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private long now = 100 * SECOND;

	private final ConfigurationHolder holder = new ConfigurationHolder(VersionedDocuments.protocol(), () -> this.now,
			new Metrics(), Runnable::run);

	private int processed;

	private final Runnable done = () -> this.processed++;

	@Test
	void theVersionNeverDecreases() {
		this.holder.offer(VersionedDocuments.document(5), this.now, "platform");
		this.holder.offer(VersionedDocuments.document(4), this.now, "keeper");
		assertThat(this.holder.version()).isEqualTo(5);
	}

	@Test
	void aNewerVersionKeepsTheLaterConfirmationTime() {
		this.holder.offer(VersionedDocuments.document(5), this.now, "platform");
		this.holder.offer(VersionedDocuments.document(6), this.now - (4 * SECOND), "platform");
		assertThat(this.holder.version()).isEqualTo(6);
		assertThat(this.holder.age()).isZero();
	}

	@Test
	void onlyTheCurrentVersionCanBeConfirmed() {
		this.holder.offer(VersionedDocuments.document(5), this.now, "platform");
		this.now += 3 * SECOND;
		this.holder.confirm(4, this.now);
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(3));
		this.holder.confirm(5, this.now - SECOND);
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(1));
		this.holder.confirm(5, this.now - (2 * SECOND));
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	void theAgeIsLargeBeforeAConfigurationIsKnown() {
		assertThat(this.holder.current()).isNull();
		assertThat(this.holder.age()).isGreaterThan(Duration.ofHours(1));
	}

	@Test
	void aDocumentFromAnotherInstanceIsAppliedIfItIsNewer() {
		this.holder.offerAsync(VersionedDocuments.compressed(5), this.now, "keeper", this.done);
		this.holder.offerAsync(VersionedDocuments.compressed(4), this.now, "keeper", this.done);
		assertThat(this.holder.version()).isEqualTo(5);
		assertThat(this.holder.document()).isEqualTo(VersionedDocuments.compressed(5).toBuilder().setAgeMs(1).build());
		assertThat(this.processed).isEqualTo(2);
	}

	@Test
	void aDocumentOfTheCurrentVersionIsNotParsedAgain() {
		this.holder.offerAsync(VersionedDocuments.compressed(5), this.now, "keeper", this.done);
		this.now += 3 * SECOND;
		this.holder.offerAsync(VersionedDocuments.truncated(5), this.now - SECOND, "keeper", this.done);
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(1));
	}

	@ParameterizedTest
	@MethodSource("unusable")
	void anInvalidDocumentIsIgnored(ConfigurationDocument document) {
		this.holder.offerAsync(VersionedDocuments.compressed(5), this.now, "keeper", this.done);
		this.holder.offerAsync(document, this.now, "keeper", this.done);
		assertThat(this.holder.version()).isEqualTo(5);
		assertThat(this.processed).isEqualTo(2);
	}

	static List<ConfigurationDocument> unusable() {
		return List.of(VersionedDocuments.truncated(6),
				VersionedDocuments.compressed(6).toBuilder().setVersion(7).build(),
				VersionedDocuments.compressed(6).toBuilder().clearContent().build());
	}

}
