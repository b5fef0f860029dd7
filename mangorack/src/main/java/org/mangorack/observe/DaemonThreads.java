package org.mangorack.observe;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates thread factories for daemon threads, which do not keep the process alive.
 */
public final class DaemonThreads {

	private DaemonThreads() {
	}

	/**
	 * Returns a factory of numbered daemon threads.
	 * @param name the prefix of the thread names
	 * @return the factory
	 */
	public static ThreadFactory named(String name) {
		AtomicInteger count = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

}
