package org.mangorack.member;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Verdict;
import org.mangorack.member.proto.CallCancel;
import org.mangorack.member.proto.CallCredit;
import org.mangorack.member.proto.CallEnd;
import org.mangorack.member.proto.CallHead;
import org.mangorack.member.proto.Frame;

/**
 * A call from this instance to another one.
 */
final class OutgoingCall {

	private static final Duration BODY_READ_TIMEOUT = Duration.ofSeconds(120);

	private static final Frame LINK_LOST = Frame.newBuilder()
		.setEnd(CallEnd.newBuilder().setError("the link to the instance broke"))
		.build();

	private final long id;

	private final PeerLink link;

	private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

	OutgoingCall(long id, PeerLink link) {
		this.id = id;
		this.link = link;
	}

	void receive(Frame frame) {
		this.frames.add(frame);
	}

	void linkLost() {
		this.frames.add(LINK_LOST);
	}

	CallAnswer awaitAnswer(Duration timeout) throws PeerCallException {
		Frame frame = next(timeout);
		if (frame == null) {
			cancel();
			throw new PeerCallException("no answer from " + this.link.peer() + " within " + timeout,
					Verdict.MAY_HAVE_RUN);
		}
		if (!frame.hasHead()) {
			this.link.removeCall(this.id);
			throw new PeerCallException(this.link.peer() + ": " + frame.getEnd().getError(), Verdict.MAY_HAVE_RUN);
		}
		CallHead head = frame.getHead();
		Map<String, String> headers = new LinkedHashMap<>();
		head.getHeadersList().forEach((h) -> headers.put(h.getName(), h.getValue()));
		long length = Long.parseLong(headers.getOrDefault(PeerLink.LENGTH_HEADER, "-1"));
		headers.remove(PeerLink.LENGTH_HEADER);
		return new CallAnswer(head.getStatus(), headers, length, this::copyBody);
	}

	private void copyBody(OutputStream out) throws IOException {
		boolean complete = false;
		try {
			for (Frame frame = next(BODY_READ_TIMEOUT); !isEnd(frame); frame = next(BODY_READ_TIMEOUT)) {
				frame.getData().writeTo(out);
				if (this.frames.isEmpty()) {
					out.flush();
				}
				grant(frame.getData().size());
			}
			complete = true;
		}
		finally {
			if (complete) {
				this.link.removeCall(this.id);
			}
			else {
				cancel();
			}
		}
	}

	private static boolean isEnd(Frame frame) throws IOException {
		if (frame == null) {
			throw new IOException("no data within " + BODY_READ_TIMEOUT);
		}
		if (!frame.hasEnd()) {
			return false;
		}
		if (!frame.getEnd().getError().isEmpty()) {
			throw new IOException(frame.getEnd().getError());
		}
		return true;
	}

	private void grant(int bytes) {
		this.link.send(Frame.newBuilder().setCall(this.id).setCredit(CallCredit.newBuilder().setBytes(bytes)).build());
	}

	private void cancel() {
		this.link.removeCall(this.id);
		this.link.send(Frame.newBuilder().setCall(this.id).setCancel(CallCancel.getDefaultInstance()).build());
	}

	private Frame next(Duration timeout) throws PeerCallException {
		try {
			return this.frames.poll(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PeerCallException("interrupted while waiting for " + this.link.peer(), Verdict.MAY_HAVE_RUN);
		}
	}

}
