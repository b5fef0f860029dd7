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
 * Programmatic Log4j configuration. A configuration file is not used because reading one
 * scans for plug-ins, which took a third of the CPU time at startup. A dedicated thread
 * writes the records from a bounded queue; while the queue is full, records are dropped
 * and counted, so that logging never blocks a thread.
 * <p>
 * The system properties {@code mangorack.log.target} ({@code SYSTEM_OUT} or
 * {@code SYSTEM_ERR}) and {@code mangorack.log.level} set the output and the level.
 */
final class EventLogConfiguration extends AbstractConfiguration {

	/**
	 * Capacity of the queue, in records: about one second of output of a busy instance.
	 */
	static final int QUEUE_CAPACITY = 4096;

	/**
	 * How long the shutdown waits for the queued records to be written.
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
	 * @param context the logger context
	 * @param output the appender that writes the records; must be named {@code output}
	 */
	EventLogConfiguration(LoggerContext context, Appender output) {
		super(context, ConfigurationSource.NULL_SOURCE);
		this.output = output;
	}

	/**
	 * Installs this configuration for all loggers created from now on, unless Log4j's own
	 * system property names a configuration file.
	 */
	static void install() {
		if (System.getProperty("log4j2.configurationFile") == null) {
			ConfigurationFactory.setConfigurationFactory(new Factory());
		}
	}

	/**
	 * Returns how many records were dropped because the queue was full.
	 * @return the number since the process started
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
	 * Counts the records that were dropped because the queue was full.
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
	 * Creates this configuration for every logger context.
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
