package org.mangorack.observe;

/**
 * A periodic task that goes on after an unexpected error, which an executor would end
 * silently.
 *
 * @param name the name of the task in the log
 * @param task the task
 */
public record GuardedTask(String name, Runnable task) implements Runnable {

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "task", this.name);
		}
	}

}
