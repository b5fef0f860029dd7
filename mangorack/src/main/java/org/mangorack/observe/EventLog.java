package org.mangorack.observe;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Writes numbered events as structured log records.
 */
public final class EventLog {

	private static final Logger LOGGER;

	static {
		EventLogConfiguration.install();
		LOGGER = LogManager.getLogger("mangorack");
	}

	private EventLog() {
	}

	/**
	 * Initializes logging. Must be called before any library logs, because Log4j would
	 * otherwise be initialized with its default configuration.
	 */
	public static void open() {
		// The static initializer of this class does the work.
	}

	/**
	 * Logs an event.
	 * @param event the event
	 * @param fields alternating field names and values
	 */
	public static void log(Event event, Object... fields) {
		log(event, null, fields);
	}

	/**
	 * Logs an event with its cause.
	 * @param event the event
	 * @param cause the cause, or {@code null}
	 * @param fields alternating field names and values
	 */
	public static void log(Event event, Throwable cause, Object... fields) {
		if (!LOGGER.isEnabled(event.level())) {
			return;
		}
		StringMapMessage message = new StringMapMessage();
		message.put("event", Integer.toString(event.number()));
		message.put("message", event.text());
		for (int i = 0; i + 1 < fields.length; i += 2) {
			message.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
		}
		LOGGER.log(event.level(), message, cause);
	}

	/**
	 * Flushes the queued records and shuts down logging. Must be the last call before the
	 * process exits.
	 */
	public static void close() {
		LogManager.shutdown();
	}

	/**
	 * Registers a JVM shutdown hook that runs a task and then shuts down logging.
	 * @param thread the name of the thread that runs the hook
	 * @param work the task
	 */
	public static void runAtShutdown(String thread, Runnable work) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			work.run();
			close();
		}, thread));
	}

	/**
	 * Returns how many records were dropped because the queue was full.
	 * @return the number since the process started
	 */
	public static long droppedRecords() {
		return EventLogConfiguration.droppedRecords();
	}

}
