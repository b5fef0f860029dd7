package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationTransfers} with a manual clock.
 */
class ConfigurationTransfersTests {

	private long now = 1;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ConfigurationTransfers transfers = new ConfigurationTransfers(this.channel.eventLoop(),
			() -> this.now);

	private final List<Runnable> started = new ArrayList<>();

	private int dropped;

	ConfigurationTransfersTests() {
		this.channel.freezeTime();
	}

	@Test
	void concurrentTransfersAreLimited() {
		add(65);
		assertThat(this.started).hasSize(ConfigurationTransfers.MAX_TRANSFERS);
		for (int i = 0; i < 65; i++) {
			this.started.get(i).run();
			assertThat(this.started)
				.hasSizeLessThanOrEqualTo(Math.min(65, i + 1 + ConfigurationTransfers.MAX_TRANSFERS));
		}
		assertThat(this.started).hasSize(65);
	}

	@Test
	void aReceiverThatDoesNotReadBlocksOthersOnlyBriefly() {
		add(ConfigurationTransfers.MAX_TRANSFERS + 1);
		advance(ConfigurationTransfers.TRANSFER_TIMEOUT);
		assertThat(this.started).hasSize(ConfigurationTransfers.MAX_TRANSFERS + 1);
	}

	@Test
	void aTransferThatEndsAfterItsTimeoutFreesNoSecondSlot() {
		add(ConfigurationTransfers.MAX_TRANSFERS);
		advance(ConfigurationTransfers.TRANSFER_TIMEOUT);
		add(2 * ConfigurationTransfers.MAX_TRANSFERS);
		List.copyOf(this.started.subList(0, ConfigurationTransfers.MAX_TRANSFERS)).forEach(Runnable::run);
		assertThat(this.started).hasSize(2 * ConfigurationTransfers.MAX_TRANSFERS);
	}

	@Test
	void aTransferQueuedForTooLongIsDroppedAndItsSenderNotified() {
		add(ConfigurationTransfers.MAX_TRANSFERS + 1);
		this.now += ConfigurationTransfers.QUEUE_TIMEOUT.toNanos() + 1;
		add(1);
		this.started.get(0).run();
		assertThat(this.started).hasSize(ConfigurationTransfers.MAX_TRANSFERS + 1);
		assertThat(this.dropped).isOne();
	}

	private void add(int count) {
		for (int i = 0; i < count; i++) {
			this.transfers.add(this.started::add, () -> this.dropped++);
		}
	}

	private void advance(Duration time) {
		this.now += time.toNanos();
		this.channel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
