package org.mangorack.relay;

import java.time.Duration;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.mangorack.call.Verdict;
import org.mangorack.dispatch.NotRunStatus;
import org.mangorack.relay.FleetProtocol.ResponseHead;

/**
 * An attempt to run a call at an upstream, from the connection to the end of the
 * response. Classifies the outcome and reports it to the call. Not thread-safe: used only
 * on the traffic event loop.
 */
final class Attempt implements ResponseListener {

	// A response that is not streamed is buffered and forwarded only when it is complete.
	private static final int MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

	/**
	 * Stands for the number of tokens to read where the times of engines are not
	 * measured.
	 */
	static final long NOT_MEASURED = -1;

	// The statuses by which a caller learns that there is no such turn to continue.
	private static final Set<Integer> TURN_ABSENT = Set.of(404, 410);

	// Fewer events say too little about the time between them.
	private static final int MIN_MEASURED_EVENTS = 3;

	private final RelayServer server;

	private final RelayCall call;

	private final Upstream upstream;

	private final long unreadTokens;

	private final ByteBuf buffered = Unpooled.buffer(512);

	private UpstreamConnection connection;

	private ResponseHead responseHead;

	private EventStreamScanner scanner;

	private boolean streaming;

	private boolean complete;

	private boolean finished;

	private boolean latencyRecorded;

	private long sentAt;

	private long firstDataAt;

	private int eventsBefore;

	private boolean readingSuspended;

	// The size of the scanned part of an event whose end has not arrived yet.
	private int scannedBytes;

	/**
	 * Creates an attempt without starting it.
	 * @param server the server that received the call
	 * @param call the call
	 * @param upstream the upstream
	 * @param unreadTokens the tokens of the prompt that the engine probably has to read,
	 * or {@link #NOT_MEASURED}
	 */
	Attempt(RelayServer server, RelayCall call, Upstream upstream, long unreadTokens) {
		this.server = server;
		this.call = call;
		this.upstream = upstream;
		this.unreadTokens = unreadTokens;
	}

	// ---- Accessors

	Upstream upstream() {
		return this.upstream;
	}

	boolean hasResponse() {
		return this.responseHead != null;
	}

	/**
	 * Returns the memory that the response takes.
	 * @return the number of bytes, with those of an incomplete event counted twice, as
	 * the scanner has a copy
	 */
	long heldBytes() {
		return (long) this.buffered.capacity() + this.scannedBytes;
	}

	// ---- Operations

	/**
	 * Opens a connection and sends the request.
	 */
	void start() {
		this.upstream.callStarted();
		this.server.client().connect(this.upstream, this.call.head().requestId(), (opened) -> {
			if (this.finished) {
				if (opened != null) {
					opened.close();
				}
				return;
			}
			if (opened == null) {
				this.upstream.unreachable(this.server.now(), "no connection");
				finish();
				this.call.retryOrFail(this.upstream, Verdict.NOT_RUN, "no connection to " + this.upstream.id());
				return;
			}
			this.connection = opened;
			send();
		});
	}

	private void send() {
		Duration left = this.call.recordAttempt();
		this.sentAt = this.server.now();
		CallHead head = this.call.head();
		// The write may fail at once, and start another attempt with a time-out of its
		// own.
		this.call.startResponseTimeout(left, this::onResponseTimeout);
		this.connection.send(head,
				this.server.protocol()
					.upstreamHeaders(head, this.upstream.entry(), this.call.forwardedWorkspace(), left,
							this.call.lastEventId()),
				Unpooled.wrappedBuffer(this.call.fullBody()), this);
	}

	private void onResponseTimeout() {
		if (!this.finished && (this.responseHead == null) && this.call.hasAttemptsLeft()) {
			abort();
			this.upstream.failed(this.server.now(), "no response before the time-out");
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN, "no answer from " + this.upstream.id());
		}
	}

	/**
	 * Aborts the attempt; no further data of it reaches the caller.
	 */
	void abort() {
		if (!this.finished) {
			finish();
			if (this.connection != null) {
				this.connection.abort();
			}
		}
	}

	private void finish() {
		if (!this.finished) {
			this.finished = true;
			this.upstream.callEnded();
		}
	}

	@Override
	public void head(ResponseHead received) {
		this.responseHead = received;
		this.streaming = this.call.route().rule().isStreamed() && received.isSuccess() && received.signed()
				&& !received.notRun();
		if (this.streaming) {
			this.call.stream().runStarted();
			this.scanner = new EventStreamScanner(this.call.stream()::accept);
			adjustReading();
		}
	}

	/**
	 * Reads on only if the caller takes the stream.
	 */
	void adjustReading() {
		if (this.streaming && !this.finished) {
			boolean taken = this.call.isCallerWritable();
			this.readingSuspended |= !taken;
			this.connection.setReading(taken);
		}
	}

	@Override
	public void data(ByteBuf bytes) {
		if (this.finished) {
			return;
		}
		if (this.buffered.readableBytes() + bytes.readableBytes() > MAX_BUFFERED_BYTES) {
			abort();
			this.call.retryOrFail(this.upstream, Verdict.RAN,
					"the answer is longer than " + MAX_BUFFERED_BYTES + " bytes");
			return;
		}
		recordLatency();
		this.buffered.writeBytes(bytes);
		if (this.streaming) {
			flushBuffered();
		}
		this.call.updateHeld();
	}

	private void recordLatency() {
		if (!this.latencyRecorded && this.responseHead.isSuccess()) {
			this.latencyRecorded = true;
			this.firstDataAt = this.server.now();
			Duration time = Duration.ofNanos(this.firstDataAt - this.sentAt);
			if (isMeasured()) {
				this.eventsBefore = this.call.stream().events();
				this.server.upstreams().engineTimes(this.call.pool()).recordRead(this.unreadTokens, time);
				return;
			}
			this.upstream.responseReceived(this.server.routeLatencies().latencyRatio(this.call.route().name(), time));
		}
	}

	private boolean isMeasured() {
		return this.unreadTokens != NOT_MEASURED;
	}

	// The time between events shows the speed of an engine, unless a slow caller held it
	// back. The time to the first one depends on the size of the prompt too.
	private void recordGeneration() {
		int events = this.call.stream().events() - this.eventsBefore;
		if (!isMeasured() || !this.latencyRecorded || this.readingSuspended) {
			return;
		}
		if (events >= MIN_MEASURED_EVENTS) {
			Duration time = Duration.ofNanos(this.server.now() - this.firstDataAt);
			this.server.upstreams().engineTimes(this.call.pool()).recordGeneration(time);
			this.upstream.responseReceived(
					this.server.generationLatencies().latencyRatio(this.call.pool(), time.dividedBy(events)));
		}
		else {
			this.upstream.shortResponseReceived();
		}
	}

	/**
	 * Forwards complete events, but none before the reservation is durable and none once
	 * the call has ended, whose caller has got another response by then.
	 */
	void flushBuffered() {
		boolean aborted = this.call.isEnded() || (this.finished && !this.complete);
		if (!this.streaming || aborted || !this.call.isReservationDurable()) {
			return;
		}
		int unscanned = this.buffered.readableBytes() - this.scannedBytes;
		int length = this.scanner.scan(this.buffered.slice(this.buffered.readerIndex() + this.scannedBytes, unscanned));
		if (length > 0) {
			beginStream();
		}
		forward(length);
		if (this.scanner.isRefused()) {
			abort();
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN,
					this.upstream.id() + " does not go on after event " + this.call.stream().lastEventId());
		}
		else if (this.complete) {
			endStream();
		}
	}

	private void beginStream() {
		if (!this.call.stream().isBegun()) {
			this.call.beginStream(this.responseHead);
		}
	}

	private void forward(int length) {
		int completeBytes = (length > 0) ? (this.scannedBytes + length) : 0;
		int remaining = this.buffered.readableBytes() - completeBytes;
		if (completeBytes > 0) {
			this.call.writeEvents(this.buffered.readBytes(completeBytes));
			this.buffered.discardReadBytes();
		}
		this.scannedBytes = remaining;
	}

	@Override
	public void end() {
		if (this.finished) {
			return;
		}
		this.complete = true;
		finish();
		this.upstream.succeeded();
		if (this.streaming) {
			recordGeneration();
			flushBuffered();
		}
		else {
			endBuffered();
		}
	}

	private void endBuffered() {
		if (this.responseHead.notRun()) {
			recordNotRun();
			this.call.retryOrFail(this.upstream, Verdict.NOT_RUN,
					this.upstream.id() + " answered " + this.responseHead.status() + " without running the request");
		}
		else if (this.responseHead.isSuccess() && !this.responseHead.signed()) {
			this.upstream.failed(this.server.now(), "unsigned response");
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + " answered unsigned");
		}
		else if ((this.responseHead.status() >= 500) && this.call.route().rule().isIdempotent()
				&& this.call.hasAttemptsLeft()) {
			this.upstream.failed(this.server.now(), "status " + this.responseHead.status());
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN,
					this.upstream.id() + " answered " + this.responseHead.status());
		}
		else if (statesNotRunOnlyByStatus()) {
			this.upstream.failed(this.server.now(), "status " + this.responseHead.status());
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + " answered "
					+ this.responseHead.status() + " without stating that the request did not run");
		}
		else if (this.call.continuesTurn() && TURN_ABSENT.contains(this.responseHead.status())) {
			// The keepers hold the turn, so the caller must not take it for absent.
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + " answered "
					+ this.responseHead.status() + " to a turn that continues another");
		}
		else if (this.call.isStreamBegun()) {
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN,
					this.upstream.id() + " answered " + this.responseHead.status() + " instead of going on");
		}
		else {
			this.call.forwardResponse(this.upstream, this.responseHead, this.buffered);
		}
	}

	// A caller would send the request again, though it may have run. Idempotent requests
	// may run again in any case.
	private boolean statesNotRunOnlyByStatus() {
		RetryPolicy rule = this.call.route().rule();
		return (rule != RetryPolicy.IDEMPOTENT)
				&& NotRunStatus.isStatedBy(this.responseHead.status(), rule.isStreamed());
	}

	private void recordNotRun() {
		long now = this.server.now();
		if (this.responseHead.status() == 421) {
			this.upstream.unreachable(now, "address belongs to another upstream");
		}
		else {
			this.upstream.capacityExceeded(now);
		}
	}

	private void endStream() {
		if (this.call.isEnded()) {
			return;
		}
		if (!this.scanner.isBetweenEvents() || (this.buffered.readableBytes() > 0)) {
			this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN,
					"the stream of " + this.upstream.id() + " ended within an event");
			return;
		}
		beginStream();
		this.call.endStream(this.upstream, this.responseHead.status());
	}

	@Override
	public void incomplete(String cause) {
		if (this.finished) {
			return;
		}
		finish();
		this.upstream.failed(this.server.now(), cause);
		this.call.retryOrFail(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + ": " + cause);
	}

}
