package org.mangorack.bench.standin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A generated stream of events, buffered so that it can be resumed from any offset.
 */
final class EngineStream {

	private final List<ObjectNode> events = new ArrayList<>();

	private boolean complete;

	private boolean cancelled;

	synchronized void add(ObjectNode event) {
		this.events.add(event);
		notifyAll();
	}

	synchronized void complete() {
		this.complete = true;
		notifyAll();
	}

	synchronized void cancel() {
		this.cancelled = true;
		notifyAll();
	}

	synchronized boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Waits for an event.
	 * @param index the zero-based index of the event
	 * @return the event, or {@code null} if the stream ended before it
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized ObjectNode await(int index) throws InterruptedException {
		while ((this.events.size() <= index) && !this.complete && !this.cancelled) {
			wait(1000);
		}
		return (this.events.size() > index) ? this.events.get(index) : null;
	}

}
