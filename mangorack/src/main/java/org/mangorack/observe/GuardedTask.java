package org.mangorack.observe;

/**
 * A periodic task that logs unexpected exceptions and errors instead of throwing them. A
 * scheduled executor would silently cancel a task that throws.
 *
 * @param name the name of the task, for logging
 * @param task the task
 */
public record GuardedTask(String name, Runnable task) implements Runnable {

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException | Error ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "task", this.name);
		}
	}

}
