package org.mangorack.dispatch;

import org.mangorack.config.Upstream;

/**
 * A slot that was granted by the {@link Dispatcher} of this instance.
 */
final class LocalSlot implements Slot {

	private final Upstream upstream;

	private final UpstreamLoad load;

	private final Dispatcher dispatcher;

	private boolean closed;

	LocalSlot(Upstream upstream, UpstreamLoad load, Dispatcher dispatcher) {
		this.upstream = upstream;
		this.load = load;
		this.dispatcher = dispatcher;
	}

	@Override
	public Upstream upstream() {
		return this.upstream;
	}

	@Override
	public void recordFailure() {
		this.dispatcher.failed(this.load);
	}

	@Override
	public void recordSuccess() {
		this.dispatcher.answered(this.load);
	}

	@Override
	public void recordMeasurements(CallMeasurements measurements) {
		// The local dispatcher considers only the number of calls in flight.
	}

	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.dispatcher.released(this.load);
		}
	}

}
