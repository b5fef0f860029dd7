package org.mangorack.member;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.member.proto.CallEnd;
import org.mangorack.member.proto.CallHead;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.Frame;
import org.mangorack.member.proto.Header;
import org.mangorack.member.proto.Heartbeat;
import org.mangorack.member.proto.Hello;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * A connection to another instance that multiplexes the calls of both ends. The dialing
 * end uses odd call identifiers, the accepting end even ones.
 */
final class PeerLink extends SimpleChannelInboundHandler<Frame> {

	static final int PROTOCOL_VERSION = 1;

	static final String LENGTH_HEADER = "content-length";

	private final Map<Long, OutgoingCall> outgoing = new ConcurrentHashMap<>();

	private final Map<Long, CreditOutputStream> incoming = new ConcurrentHashMap<>();

	private final PeerLinks links;

	private final ExecutorService traffic;

	private final boolean dialer;

	private final AtomicLong nextCall;

	private volatile Channel channel;

	private volatile String peer;

	private boolean authenticated;

	private volatile long lastReceived;

	private volatile Heartbeat lastHeartbeat;

	PeerLink(PeerLinks links, ExecutorService traffic, boolean dialer, String expectedPeer) {
		this.links = links;
		this.traffic = traffic;
		this.dialer = dialer;
		this.peer = expectedPeer;
		this.nextCall = new AtomicLong(dialer ? 1 : 2);
		this.lastReceived = links.clock().nanoTime();
	}

	// ---- Accessors

	String peer() {
		return this.peer;
	}

	Heartbeat lastHeartbeat() {
		return this.lastHeartbeat;
	}

	Duration idleTime() {
		return this.links.clock().elapsed(this.lastReceived);
	}

	boolean isOpen() {
		return (this.channel != null) && this.channel.isActive();
	}

	// ---- Public API

	CallAnswer call(CallOpen open, Duration timeout) throws PeerCallException {
		if (!isOpen()) {
			throw new PeerCallException("no link to " + this.peer, Verdict.NOT_RUN);
		}
		long id = this.nextCall.getAndAdd(2);
		OutgoingCall call = new OutgoingCall(id, this);
		this.outgoing.put(id, call);
		send(Frame.newBuilder().setCall(id).setOpen(open).build());
		if (!isOpen()) {
			call.linkLost();
		}
		return call.awaitAnswer(timeout);
	}

	void send(Frame frame) {
		Channel current = this.channel;
		if (current != null) {
			current.writeAndFlush(frame, current.voidPromise());
		}
	}

	void removeCall(long call) {
		this.outgoing.remove(call);
	}

	void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	// ---- Channel events

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		Hello hello = Hello.newBuilder()
			.setProtocol(PROTOCOL_VERSION)
			.setInstance(this.links.self())
			.setSecret(this.links.secret())
			.build();
		if (this.dialer) {
			send(Frame.newBuilder().setHello(hello).build());
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.lastReceived = this.links.clock().nanoTime();
		if (frame.hasHello()) {
			handleHello(frame.getHello());
			return;
		}
		if (!isAuthenticated()) {
			reject(this.peer);
			return;
		}
		switch (frame.getBodyCase()) {
			case HEARTBEAT -> receive(frame.getHeartbeat());
			case OPEN -> open(frame);
			case HEAD, DATA, END -> deliverToCall(frame);
			case CREDIT, CANCEL -> handleFlowControl(frame);
			default -> context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.links.closed(this);
		this.outgoing.values().forEach(OutgoingCall::linkLost);
		this.outgoing.clear();
		this.incoming.values().forEach(CreditOutputStream::cancel);
		this.incoming.clear();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		EventLog.log(Event.PEER_LOST, "peer", this.peer, "address", context.channel().remoteAddress(), "cause", cause);
		context.close();
	}

	// ---- Helpers

	private void handleHello(Hello hello) {
		if (this.dialer || !this.links.accepts(hello, this.channel)) {
			reject(hello.getInstance());
			return;
		}
		this.peer = hello.getInstance();
		this.authenticated = true;
		this.links.established(this);
	}

	/**
	 * Returns whether the peer is authenticated. The accepting end authenticates the peer
	 * when it receives its hello message; the dialing end verifies that the peer is the
	 * instance that it dialed.
	 * @return {@code false} if no other message may be accepted from the peer
	 */
	private boolean isAuthenticated() {
		if (!this.authenticated && this.dialer) {
			this.authenticated = this.links.isPeerVerified(this, this.channel);
		}
		return this.authenticated;
	}

	private void reject(String name) {
		EventLog.log(Event.PEER_REFUSED, "peer", name, "address", this.channel.remoteAddress());
		close();
	}

	private void receive(Heartbeat heartbeat) {
		this.lastHeartbeat = heartbeat;
		this.links.heartbeatReceived(this, heartbeat);
	}

	private void deliverToCall(Frame frame) {
		OutgoingCall call = this.outgoing.get(frame.getCall());
		if (call != null) {
			call.receive(frame);
		}
	}

	private void handleFlowControl(Frame frame) {
		CreditOutputStream stream = this.incoming.get(frame.getCall());
		if (stream == null) {
			return;
		}
		if (frame.hasCredit()) {
			stream.grant(frame.getCredit().getBytes());
		}
		else {
			stream.cancel();
		}
	}

	private void open(Frame frame) {
		long id = frame.getCall();
		CreditOutputStream stream = new CreditOutputStream((bytes) -> sendData(id, bytes));
		this.incoming.put(id, stream);
		try {
			this.traffic.execute(() -> serve(id, frame.getOpen(), stream));
		}
		catch (RejectedExecutionException ex) {
			end(id, "the instance is stopping");
		}
	}

	private void serve(long id, CallOpen open, CreditOutputStream stream) {
		String error = "";
		try {
			CallAnswer answer = answer(open);
			sendHead(id, answer);
			answer.body().writeTo(stream);
		}
		catch (IOException ex) {
			error = String.valueOf(ex.getMessage());
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "request", open.getRequestId(), "peer", this.peer);
			error = "internal error";
		}
		end(id, error);
	}

	private CallAnswer answer(CallOpen open) {
		PeerHandler handler = this.links.handler(open.getKind());
		if (handler == null) {
			return CallAnswer.refusal(
					Refusal.notRun(501, "unknown_call", "this instance knows no call \"" + open.getKind() + "\""),
					open.getRequestId());
		}
		return handler.answer(this.peer, open);
	}

	private void sendHead(long id, CallAnswer answer) {
		CallHead.Builder head = CallHead.newBuilder().setStatus(answer.status());
		answer.headers().forEach((name, value) -> head.addHeaders(Header.newBuilder().setName(name).setValue(value)));
		head.addHeaders(Header.newBuilder().setName(LENGTH_HEADER).setValue(Long.toString(answer.length())));
		send(Frame.newBuilder().setCall(id).setHead(head).build());
	}

	private void sendData(long id, ByteString bytes) {
		send(Frame.newBuilder().setCall(id).setData(bytes).build());
	}

	private void end(long id, String error) {
		this.incoming.remove(id);
		send(Frame.newBuilder().setCall(id).setEnd(CallEnd.newBuilder().setError(error)).build());
	}

}
