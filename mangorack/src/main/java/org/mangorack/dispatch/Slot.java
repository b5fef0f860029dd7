package org.mangorack.dispatch;

import org.mangorack.config.Upstream;

/**
 * The right to send one call to an upstream. Closing it gives the right back.
 */
public final class Slot implements AutoCloseable {

	private final Upstream upstream;

	private final UpstreamLoad load;

	private final Dispatcher dispatcher;

	private boolean closed;

	Slot(Upstream upstream, UpstreamLoad load, Dispatcher dispatcher) {
		this.upstream = upstream;
		this.load = load;
		this.dispatcher = dispatcher;
	}

	/**
	 * Returns the upstream.
	 * @return the upstream that the call goes to
	 */
	public Upstream upstream() {
		return this.upstream;
	}

	/**
	 * Reports that the upstream did not answer.
	 */
	public void failed() {
		this.dispatcher.failed(this.load);
	}

	/**
	 * Reports that the upstream answered.
	 */
	public void answered() {
		this.dispatcher.answered(this.load);
	}

	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.dispatcher.released(this.load);
		}
	}

}
