package org.mangorack.observe;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.core.impl.Log4jLogEvent;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.SimpleMessage;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.call.Jsons;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventLogConfiguration} and {@link EventLayout}.
 */
class EventLogConfigurationTests {

	@Test
	void anEventIsOneLineOfJson() throws Exception {
		StringMapMessage message = new StringMapMessage();
		message.put("event", "2102");
		message.put("detail", "two\nlines and a \"quote\"");
		String line = line(message, null);
		assertThat(line.indexOf('\n')).isEqualTo(line.length() - 1);
		JsonNode json = Jsons.parse(line.getBytes(StandardCharsets.UTF_8));
		assertThat(json.path("time").asText()).isEqualTo("1970-01-01T00:00:01.500Z");
		assertThat(json.path("level").asText()).isEqualTo("WARN");
		assertThat(json.path("thread").asText()).isEqualTo("traffic");
		assertThat(json.path("event").path("event").asText()).isEqualTo("2102");
		assertThat(json.path("event").path("detail").asText()).isEqualTo("two\nlines and a \"quote\"");
		assertThat(json.has("error")).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "KEEPER, k\"1, k\"1, keeper", "ENTRY, , , entry", "SELF_CHECK, , , selfcheck" })
	void aRecordNamesTheInstanceAndRoleThatAreKnown(ProcessRole role, String instance, String expected, String word)
			throws Exception {
		JsonNode json = Jsons.parse(line(new LogOrigin(role, instance), new SimpleMessage("text of a library"), null)
			.getBytes(StandardCharsets.UTF_8));
		assertThat(json.path("instance").asText(null)).isEqualTo(expected);
		assertThat(json.path("role").asText()).isEqualTo(word);
		assertThat(json.path("level").asText()).isEqualTo("WARN");
	}

	@Test
	void recordsBeforeTheStartOfAProcessLackBoth() throws Exception {
		JsonNode json = Jsons
			.parse(line(LogOrigin.UNKNOWN, new SimpleMessage("early"), null).getBytes(StandardCharsets.UTF_8));
		assertThat(json.has("instance")).isFalse();
		assertThat(json.has("role")).isFalse();
	}

	@Test
	void aCauseIsLoggedWithItsStackTrace() throws Exception {
		JsonNode json = Jsons.parse(line(new SimpleMessage("text of a library"), new IOException("no disk"))
			.getBytes(StandardCharsets.UTF_8));
		assertThat(json.path("event").asText()).isEqualTo("text of a library");
		assertThat(json.path("error").asText()).contains("no disk").contains("aCauseIsLogged");
	}

	/**
	 * A blocked output must not block the threads that log.
	 */
	@Test
	void recordsAreDroppedAndCountedWhileTheOutputIsBlocked() {
		CountDownLatch unblocked = new CountDownLatch(1);
		LoggerContext context = new LoggerContext("blocked");
		try {
			context.start(new EventLogConfiguration(context, new BlockedAppender(unblocked)));
			long droppedBefore = EventLogConfiguration.droppedRecords();
			Logger logger = context.getLogger("test");
			for (int i = 0; i < EventLogConfiguration.QUEUE_CAPACITY + 500; i++) {
				logger.info("record");
			}
			// The writer thread may hold one record that is no longer in the queue.
			assertThat(EventLogConfiguration.droppedRecords() - droppedBefore).isBetween(498L, 500L);
		}
		finally {
			unblocked.countDown();
			context.stop();
		}
	}

	/**
	 * With two writer threads on one queue, one could take the stop request meant for the
	 * other, which would then never end.
	 */
	@Test
	void oneThreadWritesAndStopsWithTheLog() {
		long before = writerThreadCount();
		CountDownLatch open = new CountDownLatch(0);
		LoggerContext context = new LoggerContext("ending");
		context.start(new EventLogConfiguration(context, new BlockedAppender(open)));
		context.getLogger("test").info("record");
		assertThat(writerThreadCount() - before).isEqualTo(1);
		context.stop();
		assertThat(writerThreadCount() - before).isZero();
	}

	private static long writerThreadCount() {
		return Thread.getAllStackTraces()
			.keySet()
			.stream()
			.filter((thread) -> thread.getName().contains("AsyncAppenderEventDispatcher"))
			.count();
	}

	private static String line(Message message, Throwable thrown) {
		return line(LogOrigin.UNKNOWN, message, thrown);
	}

	private static String line(LogOrigin origin, Message message, Throwable thrown) {
		return new EventLayout(() -> origin).toSerializable(Log4jLogEvent.newBuilder()
			.setLevel(Level.WARN)
			.setThreadName("traffic")
			.setTimeMillis(1500)
			.setMessage(message)
			.setThrown(thrown)
			.build());
	}

	/**
	 * An appender that blocks until it is released.
	 */
	private static final class BlockedAppender extends AbstractAppender {

		private final CountDownLatch unblocked;

		private BlockedAppender(CountDownLatch unblocked) {
			super(EventLogConfiguration.OUTPUT, null, null, false, Property.EMPTY_ARRAY);
			this.unblocked = unblocked;
		}

		@Override
		public void append(LogEvent record) {
			try {
				this.unblocked.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
