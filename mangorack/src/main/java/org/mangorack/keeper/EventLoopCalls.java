package org.mangorack.keeper;

import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

/**
 * Blocking access of other threads to state that is confined to an event loop.
 */
final class EventLoopCalls {

	private EventLoopCalls() {
	}

	/**
	 * Runs a task on an event loop and waits for its result.
	 * @param <T> the type of the result
	 * @param loop the event loop, which must not be that of the calling thread
	 * @param task the task
	 * @return the result of the task
	 * @throws InterruptedException if the thread is interrupted
	 * @throws IllegalStateException if the task fails
	 */
	static <T> T call(EventLoop loop, Supplier<T> task) throws InterruptedException {
		try {
			return loop.submit(task::get).get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("keeper task failed on the event loop", ex.getCause());
		}
	}

}
