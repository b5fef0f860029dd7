package org.mangorack.keeper;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests for {@link KeeperNode}.
 */
class KeeperNodeTests {

	private static final HttpAddress ANY_PORT = HttpAddress.parse("127.0.0.1:0");

	private static final Duration RETENTION = Duration.ofSeconds(600);

	@TempDir
	Path folder;

	// Guards against a failure in the shutdown hook of a process that is stopped during
	// its start.
	@Test
	void aKeeperThatIsNotStartedCanBeStopped() {
		HttpAddress address = HttpAddress.parse("127.0.0.1:1");
		KeeperNode keeper = new KeeperNode(
				new KeeperSettings("keeper-1", "dc", address, null, address, this.folder, 0, true, null), null, null,
				null, new Metrics());
		assertThatCode(keeper::stop).doesNotThrowAnyException();
		keeper.close();
	}

	// Guards against a late start whose cause cannot be told from the log.
	@Test
	void theStartOfAKeeperTellsWhatItReadOfItsLog() throws Exception {
		fillLog(3);
		StringMapMessage started;
		try (EventCapture capture = new EventCapture()) {
			KeeperNode keeper = new KeeperNode(
					new KeeperSettings("keeper-1", "dc", ANY_PORT, null, ANY_PORT, this.folder, 0, false, null),
					new FakeStore(), new FixedConfiguration(null), new TestGroup.Retirements(), new Metrics());
			keeper.start();
			keeper.close();
			started = capture.first(Event.INSTANCE_STARTED);
		}
		assertThat(started.get("turns")).isEqualTo("3");
		assertThat(started.get("logSegments")).isEqualTo("3");
		assertThat(started.get("logBytes")).isEqualTo(Long.toString(logBytes()));
		assertThat(Long.parseLong(started.get("logMillis"))).isNotNegative();
	}

	// Guards against calls of the platform, each of which has a price, in deployments
	// whose settings name no evacuations, and against evacuations that are not watched
	// elsewhere.
	@ParameterizedTest
	@CsvSource(nullValues = "-", value = { "-, false", "PT5S, true" })
	void evacuationsAreWatchedOnlyIfTheSettingsNameThem(Duration bound, boolean watched) throws Exception {
		Set<Object> kinds = ConcurrentHashMap.newKeySet();
		FakeStore store = new FakeStore();
		ObjectStore recording = (ObjectStore) Proxy.newProxyInstance(ObjectStore.class.getClassLoader(),
				new Class<?>[] { ObjectStore.class }, (proxy, method, arguments) -> {
					kinds.add(arguments[0]);
					try {
						return method.invoke(store, arguments);
					}
					catch (InvocationTargetException ex) {
						throw ex.getCause();
					}
				});
		KeeperNode keeper = new KeeperNode(
				new KeeperSettings("keeper-1", "dc", ANY_PORT, null, ANY_PORT, this.folder, 0, false, bound), recording,
				new FixedConfiguration(null), new TestGroup.Retirements(), new Metrics());
		keeper.start();
		// The watch of evacuations is started before that of upstreams.
		long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
		while (!(kinds.contains(ObjectKind.UPSTREAM) && kinds.contains(ObjectKind.KEEPER_GROUP)
				&& (!watched || kinds.contains(ObjectKind.EVACUATION))) && (System.nanoTime() < deadline)) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
		TimeUnit.MILLISECONDS.sleep(100);
		keeper.close();
		assertThat(kinds).contains(ObjectKind.UPSTREAM);
		assertThat(kinds.contains(ObjectKind.EVACUATION)).isEqualTo(watched);
	}

	// ---- Helpers

	// Writes a turn in each of some starts, which open a segment each.
	private void fillLog(int starts) throws Exception {
		Files.writeString(this.folder.resolve("disk-id"), UUID.randomUUID().toString());
		for (int i = 0; i < starts; i++) {
			try (RecordLog log = new RecordLog(this.folder.resolve("log"), Runnable::run)) {
				TurnStore turns = new TurnStore(log, MonotonicClock.SYSTEM, System::currentTimeMillis);
				log.start();
				turns.storeTurn(Turn.newBuilder().setId("t" + i).setRetentionMs(RETENTION.toMillis()).build(),
						(failure) -> {
						});
			}
		}
	}

	// A start opens no segment before its first write.
	private long logBytes() throws IOException {
		long bytes = 0;
		for (String name : DiskFiles.SYSTEM.list(this.folder.resolve("log"))) {
			bytes += Files.size(this.folder.resolve("log").resolve(name));
		}
		return bytes;
	}

	/**
	 * Captures events until it is closed.
	 */
	private static final class EventCapture extends AbstractAppender implements AutoCloseable {

		private static final Logger LOGGER = (Logger) LogManager.getLogger("mangorack");

		private final Level formerLevel = LOGGER.getLevel();

		private final List<StringMapMessage> events = new CopyOnWriteArrayList<>();

		EventCapture() {
			super("capture", null, null, true, Property.EMPTY_ARRAY);
			EventLog.open();
			start();
			LOGGER.addAppender(this);
			LOGGER.setLevel(Level.INFO);
		}

		StringMapMessage first(Event event) {
			return this.events.stream()
				.filter((e) -> e.get("event").equals(Integer.toString(event.number())))
				.findFirst()
				.orElseThrow();
		}

		@Override
		public void append(LogEvent event) {
			if (event.getMessage() instanceof StringMapMessage message) {
				this.events.add(message);
			}
		}

		@Override
		public void close() {
			LOGGER.setLevel(this.formerLevel);
			LOGGER.removeAppender(this);
			stop();
		}

	}

}
