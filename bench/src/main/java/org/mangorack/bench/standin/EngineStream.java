package org.mangorack.bench.standin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stream that an engine generates. It is kept for a while, so that it can be resumed.
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
	 * @param index the number of the event
	 * @return the event, or {@code null} at the end
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized ObjectNode await(int index) throws InterruptedException {
		while ((this.events.size() <= index) && !this.complete && !this.cancelled) {
			wait(1000);
		}
		return (this.events.size() > index) ? this.events.get(index) : null;
	}

}
