package org.mangorack.relay;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.mangorack.call.Verdict;
import org.mangorack.relay.FleetProtocol.AnswerHead;

/**
 * One attempt of a call at an upstream, from the connection to the end of the answer.
 * Decides what an answer is worth and tells its call. Used by the thread for traffic
 * only.
 */
final class Attempt implements ResponseListener {

	// An answer that is not streamed is passed on only when it is whole.
	private static final int MAX_WHOLE_BYTES = 16 * 1024 * 1024;

	private final RelayServer server;

	private final RelayCall call;

	private final Upstream upstream;

	private final ByteBuf held = Unpooled.buffer(512);

	private UpstreamConnection connection;

	private AnswerHead answer;

	private EventStreamScanner scanner;

	private boolean streaming;

	private boolean whole;

	private boolean over;

	private boolean paceNoted;

	private long sentAt;

	// Bytes of the part of an event that waits for its end.
	private int scannedBytes;

	/**
	 * Creates an attempt that is not made yet.
	 * @param server the server that the call came to
	 * @param call the call
	 * @param upstream the upstream to ask
	 */
	Attempt(RelayServer server, RelayCall call, Upstream upstream) {
		this.server = server;
		this.call = call;
		this.upstream = upstream;
	}

	// ---- Accessors

	Upstream upstream() {
		return this.upstream;
	}

	boolean isAnswered() {
		return this.answer != null;
	}

	// ---- Public API

	/**
	 * Opens a connection and sends the request.
	 */
	void start() {
		this.upstream.began();
		this.server.client().connect(this.upstream, (opened) -> {
			if (this.over) {
				if (opened != null) {
					opened.close();
				}
				return;
			}
			if (opened == null) {
				this.upstream.unreachable(this.server.now(), "no connection");
				finished();
				this.call.retryOrGiveUp(this.upstream, Verdict.NOT_RUN, "no connection to " + this.upstream.id());
				return;
			}
			this.connection = opened;
			send();
		});
	}

	private void send() {
		Duration left = this.call.sending();
		this.sentAt = this.server.now();
		CallHead head = this.call.head();
		this.connection.send(head, this.server.protocol()
			.upstreamHeaders(head, this.upstream.entry(), this.call.shownWorkspace(), left, this.call.lastEventId()),
				Unpooled.wrappedBuffer(this.call.wholeBody()), this);
		this.call.awaitAnswer(left, this::patienceOver);
	}

	private void patienceOver() {
		if (!this.over && (this.answer == null) && this.call.mayTryAgain()) {
			abort();
			this.upstream.failed(this.server.now(), "no answer");
			this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN, "no answer from " + this.upstream.id());
		}
	}

	/**
	 * Gives the attempt up; nothing of it reaches the caller from then on.
	 */
	void abort() {
		if (!this.over) {
			finished();
			if (this.connection != null) {
				this.connection.abort();
			}
		}
	}

	private void finished() {
		if (!this.over) {
			this.over = true;
			this.upstream.ended();
		}
	}

	@Override
	public void head(AnswerHead received) {
		this.answer = received;
		this.streaming = this.call.route().rule().isStreamed() && received.isSuccess() && received.signed()
				&& !received.notRun();
		if (this.streaming) {
			this.call.stream().runBegins();
			this.scanner = new EventStreamScanner(this.call.stream()::accept);
		}
	}

	@Override
	public void data(ByteBuf bytes) {
		if (this.over) {
			return;
		}
		if (this.held.readableBytes() + bytes.readableBytes() > MAX_WHOLE_BYTES) {
			abort();
			this.call.retryOrGiveUp(this.upstream, Verdict.RAN,
					"the answer is longer than " + MAX_WHOLE_BYTES + " bytes");
			return;
		}
		notePace();
		this.held.writeBytes(bytes);
		if (this.streaming) {
			flushHeld();
		}
	}

	private void notePace() {
		if (!this.paceNoted && this.answer.isSuccess()) {
			this.paceNoted = true;
			Duration time = Duration.ofNanos(this.server.now() - this.sentAt);
			this.upstream.answered(this.server.paces().pace(this.call.route().name(), time));
		}
	}

	/**
	 * Passes on whole events, but none before the reservation is durable.
	 */
	void flushHeld() {
		if (!this.streaming || (this.over && !this.whole) || !this.call.isReservationDurable()) {
			return;
		}
		if (!this.call.stream().isBegun()) {
			this.call.beginStream(this.answer);
		}
		int unscanned = this.held.readableBytes() - this.scannedBytes;
		int length = this.scanner.scan(this.held.slice(this.held.readerIndex() + this.scannedBytes, unscanned));
		pass(length);
		if (this.scanner.isRefused()) {
			abort();
			this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN,
					this.upstream.id() + " does not go on after event " + this.call.stream().lastEventId());
		}
		else if (this.whole) {
			endStream();
		}
	}

	private void pass(int length) {
		int whole = (length > 0) ? (this.scannedBytes + length) : 0;
		int rest = this.held.readableBytes() - whole;
		if (whole > 0) {
			this.call.writeEvents(this.held.readBytes(whole));
			this.held.discardReadBytes();
		}
		this.scannedBytes = rest;
	}

	@Override
	public void end() {
		if (this.over) {
			return;
		}
		this.whole = true;
		finished();
		this.upstream.succeeded();
		if (this.streaming) {
			flushHeld();
		}
		else {
			endWhole();
		}
	}

	private void endWhole() {
		if (this.answer.notRun()) {
			noteNotRun();
			this.call.retryOrGiveUp(this.upstream, Verdict.NOT_RUN,
					this.upstream.id() + " answered " + this.answer.status() + " without running the request");
		}
		else if (this.answer.isSuccess() && !this.answer.signed()) {
			this.upstream.failed(this.server.now(), "unsigned answer");
			this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + " answered unsigned");
		}
		else if ((this.answer.status() >= 500) && this.call.route().rule().isIdempotent() && this.call.mayTryAgain()) {
			this.upstream.failed(this.server.now(), "status " + this.answer.status());
			this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN,
					this.upstream.id() + " answered " + this.answer.status());
		}
		else if (this.call.isStreamBegun()) {
			this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN,
					this.upstream.id() + " answered " + this.answer.status() + " instead of going on");
		}
		else {
			this.call.answer(this.upstream, this.answer, this.held);
		}
	}

	private void noteNotRun() {
		long now = this.server.now();
		if (this.answer.status() == 421) {
			this.upstream.unreachable(now, "another upstream has its address");
		}
		else {
			this.upstream.full(now);
		}
	}

	private void endStream() {
		if (this.call.isEnded()) {
			return;
		}
		if (!this.scanner.isBetweenEvents() || (this.held.readableBytes() > 0)) {
			this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN,
					"the stream of " + this.upstream.id() + " ended within an event");
			return;
		}
		this.call.endStream(this.upstream, this.answer.status());
	}

	@Override
	public void broke(String cause) {
		if (this.over) {
			return;
		}
		finished();
		this.upstream.failed(this.server.now(), cause);
		this.call.retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + ": " + cause);
	}

}
