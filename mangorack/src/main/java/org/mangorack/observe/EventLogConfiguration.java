package org.mangorack.observe;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.atomic.LongAdder;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationFactory;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Property;

/**
 * The configuration of the log, made in code: reading one from a file looks for plug-ins,
 * which took a third of the processor time of a start. Records are written by a thread of
 * their own from a bounded queue; while it is full, records are dropped and counted, so
 * that no thread waits for the log.
 * <p>
 * {@code mangorack.log.target} ({@code SYSTEM_OUT} or {@code SYSTEM_ERR}) and
 * {@code mangorack.log.level} are read from the system properties.
 */
final class EventLogConfiguration extends AbstractConfiguration {

	/**
	 * Records that wait to be written: a second of the records of a busy instance.
	 */
	static final int QUEUE_CAPACITY = 4096;

	/**
	 * How long the end of the process waits for records to be written.
	 */
	static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The name of the appender that writes the records.
	 */
	static final String OUTPUT = "output";

	private static final String QUEUE = "queue";

	private static final String DROPPED = "dropped";

	private static final LongAdder DROPPED_RECORDS = new LongAdder();

	private final Appender output;

	/**
	 * Creates a configuration.
	 * @param context the context that it is for
	 * @param output writes the records; its name is {@code output}
	 */
	EventLogConfiguration(LoggerContext context, Appender output) {
		super(context, ConfigurationSource.NULL_SOURCE);
		this.output = output;
	}

	/**
	 * Makes this the configuration of all loggers that are created from now on, unless
	 * another one is asked for by Log4j's own property.
	 */
	static void install() {
		if (System.getProperty("log4j2.configurationFile") == null) {
			ConfigurationFactory.setConfigurationFactory(new Factory());
		}
	}

	/**
	 * Returns how many records were dropped because the queue was full.
	 * @return the number since the start
	 */
	static long droppedRecords() {
		return DROPPED_RECORDS.sum();
	}

	@Override
	public void initialize() {
		setup();
		doConfigure();
		setState(State.INITIALIZED);
	}

	@Override
	public void setup() {
		setName("mangorack");
		this.isShutdownHookEnabled = false;
	}

	@Override
	protected void doConfigure() {
		addAppender(this.output);
		addAppender(new DroppedRecordCounter());
		addAppender(AsyncAppender.newBuilder()
			.setName(QUEUE)
			.setConfiguration(this)
			.setAppenderRefs(new AppenderRef[] { AppenderRef.createAppenderRef(OUTPUT, null, null) })
			.setErrorRef(DROPPED)
			.setBufferSize(QUEUE_CAPACITY)
			.setBlocking(false)
			.setShutdownTimeout(SHUTDOWN_TIMEOUT.toMillis())
			.build());
		getRootLogger().setLevel(Level.toLevel(System.getProperty("mangorack.log.level"), Level.INFO));
		getRootLogger().addAppender(getAppender(QUEUE), null, null);
	}

	private static Appender console() {
		return ConsoleAppender.newBuilder()
			.setName(OUTPUT)
			.setTarget(ConsoleAppender.Target.valueOf(System.getProperty("mangorack.log.target", "SYSTEM_ERR")))
			.setLayout(new EventLayout(LogOrigin::current))
			.build();
	}

	/**
	 * Counts records that found the queue full.
	 */
	private static final class DroppedRecordCounter extends AbstractAppender {

		private DroppedRecordCounter() {
			super(DROPPED, null, null, true, Property.EMPTY_ARRAY);
		}

		@Override
		public void append(LogEvent record) {
			DROPPED_RECORDS.increment();
		}

	}

	/**
	 * Gives every logger context this configuration.
	 */
	private static final class Factory extends ConfigurationFactory {

		@Override
		public Configuration getConfiguration(LoggerContext context, ConfigurationSource source) {
			return new EventLogConfiguration(context, console());
		}

		@Override
		public Configuration getConfiguration(LoggerContext context, String name, URI location) {
			return new EventLogConfiguration(context, console());
		}

		@Override
		protected String[] getSupportedTypes() {
			return new String[0];
		}

	}

}
