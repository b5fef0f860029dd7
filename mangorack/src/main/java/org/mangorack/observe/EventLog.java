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
	 * Sets up logging. To be called before a library logs, which would set it up in its
	 * own way.
	 */
	public static void open() {
		// The set-up belongs to the class.
	}

	/**
	 * Logs an event.
	 * @param event the event
	 * @param fields names and values in turn
	 */
	public static void log(Event event, Object... fields) {
		log(event, null, fields);
	}

	/**
	 * Logs an event with its cause.
	 * @param event the event
	 * @param cause the cause, or {@code null}
	 * @param fields names and values in turn
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
	 * Writes the records that wait, and ends logging. To be called last before the end of
	 * the process.
	 */
	public static void close() {
		LogManager.shutdown();
	}

	/**
	 * Does the last work of the process when it is asked to end, and then ends logging.
	 * @param thread the name of the thread that does it
	 * @param work the work
	 */
	public static void runAtShutdown(String thread, Runnable work) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			work.run();
			close();
		}, thread));
	}

	/**
	 * Returns how many records were dropped because too many waited to be written.
	 * @return the number since the start
	 */
	public static long droppedRecords() {
		return EventLogConfiguration.droppedRecords();
	}

}
