package org.mangorack.keeper;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import org.mangorack.keeper.proto.Batch;
import org.mangorack.keeper.proto.Listing;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Status;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.member.MessageFrames;

/**
 * Members of a group that all list the same turns and count what they are asked for.
 * Their replies to requests for turns can be held back or left out.
 */
final class ScriptedKeepers implements AutoCloseable {

	// Differs from the address that clients connect from, as in TestKeeper.
	private static final String HOST = "127.0.0.2";

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Map<String, Channel> servers = new LinkedHashMap<>();

	private final Map<String, Turn> listed = new LinkedHashMap<>();

	private final List<ProgramCharges> charges = new ArrayList<>();

	private final Set<String> expired = new HashSet<>();

	private final Set<String> silent = new HashSet<>();

	private final Map<String, Integer> listings = new HashMap<>();

	private final Map<String, Integer> sentTurns = new HashMap<>();

	private final List<Runnable> held = new ArrayList<>();

	private int copyRequests;

	private int releasedAt;

	private int mostInFlight;

	private int turnsPerReply = Integer.MAX_VALUE;

	/**
	 * Starts a member.
	 * @param name the name of its instance
	 * @return the member
	 */
	Member add(String name) {
		Channel server = new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					MessageFrames.addTo(ch.pipeline(), Request.getDefaultInstance());
					ch.pipeline().addLast(new Handler(name));
				}
			})
			.bind(HOST, 0)
			.syncUninterruptibly()
			.channel();
		this.servers.put(name, server);
		return Member.newBuilder()
			.setName(name)
			.setDisk(name + "-disk")
			.setHost(HOST)
			.setPort(((InetSocketAddress) server.localAddress()).getPort())
			.setZone("dc")
			.build();
	}

	synchronized void list(Turn turn) {
		this.listed.put(turn.getId(), turn);
	}

	synchronized void list(ProgramCharges program) {
		this.charges.add(program);
	}

	// Lets all members list a turn that they no longer hold.
	synchronized void listExpired(Turn turn) {
		list(turn);
		this.expired.add(turn.getId());
	}

	synchronized void limitReplies(int turns) {
		this.turnsPerReply = turns;
	}

	// Lets a member reply to no request for turns.
	synchronized void silence(String name) {
		this.silent.add(name);
	}

	synchronized void endSilence() {
		this.silent.clear();
	}

	// Holds replies with turns, after the first one of each member, until so many
	// requests wait at the same time.
	synchronized void holdRepliesUntilInFlight(int count) {
		this.releasedAt = count;
	}

	synchronized int mostInFlight() {
		return this.mostInFlight;
	}

	synchronized int copyRequests() {
		return this.copyRequests;
	}

	synchronized Map<String, Integer> listings() {
		return Map.copyOf(this.listings);
	}

	synchronized Map<String, Integer> sentTurns() {
		return Map.copyOf(this.sentTurns);
	}

	private synchronized void copy(String name, ChannelHandlerContext ctx, Request request) {
		this.copyRequests++;
		if (this.silent.contains(name)) {
			return;
		}
		List<Turn> turns = request.getCopy()
			.getTurnList()
			.stream()
			.filter((id) -> !this.expired.contains(id))
			.map(this.listed::get)
			.filter(Objects::nonNull)
			.limit(this.turnsPerReply)
			.toList();
		turns.forEach((t) -> this.sentTurns.merge(t.getId(), 1, Integer::sum));
		Runnable answer = () -> write(ctx, request, Reply.newBuilder().setBatch(Batch.newBuilder().addAllTurn(turns)));
		if ((this.copyRequests <= this.servers.size()) || (this.mostInFlight >= this.releasedAt)) {
			answer.run();
			return;
		}
		this.held.add(answer);
		this.mostInFlight = Math.max(this.mostInFlight, this.held.size());
		if (this.mostInFlight >= this.releasedAt) {
			this.held.forEach(Runnable::run);
			this.held.clear();
		}
	}

	private synchronized Reply.Builder listing(String name) {
		this.listings.merge(name, 1, Integer::sum);
		return Reply.newBuilder()
			.setListing(Listing.newBuilder().addAllTurn(this.listed.keySet()).addAllProgram(this.charges));
	}

	private static void write(ChannelHandlerContext ctx, Request request, Reply.Builder reply) {
		ctx.writeAndFlush(reply.setId(request.getId()).setDurable(true).build());
	}

	@Override
	public void close() {
		this.servers.values().forEach((s) -> s.close().syncUninterruptibly());
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/**
	 * Handles the requests of one connection to a member.
	 */
	private final class Handler extends SimpleChannelInboundHandler<Request> {

		private final String name;

		private Handler(String name) {
			this.name = name;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Request request) {
			switch (request.getBodyCase()) {
				case ADOPT -> write(ctx, request, Reply.newBuilder().setView(request.getAdopt().getView()));
				case INVENTORY -> write(ctx, request, listing(this.name));
				case COPY -> copy(this.name, ctx, request);
				default -> write(ctx, request, Reply.newBuilder().setStatus(Status.FAILED));
			}
		}

	}

}
