package org.mangorack.bench.fault;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy for one server that injects network faults by client address and direction.
 */
public final class FaultProxy implements AutoCloseable {

	private static final long DELAY_MILLIS = 200;

	private static final long POLL_INTERVAL_MILLIS = 5;

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final Map<String, LinkFault> serverBoundFaults = new ConcurrentHashMap<>();

	private final Map<String, LinkFault> clientBoundFaults = new ConcurrentHashMap<>();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicLong bytes = new AtomicLong();

	private volatile boolean closed;

	/**
	 * Starts a proxy on a free port.
	 * @param host the address to listen on
	 * @param target the address of the server
	 * @throws IOException if no port is free
	 */
	public FaultProxy(String host, InetSocketAddress target) throws IOException {
		this.listener = new ServerSocket(0, 128, InetAddress.getByName(host));
		this.target = target;
		start("proxy-accept", this::accept);
	}

	// ---- Public API

	/**
	 * Returns the address that clients connect to.
	 * @return the address as {@code HOST:PORT}
	 */
	public String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/**
	 * Returns the number of bytes received in both directions.
	 * @return the number of bytes
	 */
	public long bytes() {
		return this.bytes.get();
	}

	/**
	 * Sets the faults of the connections from a client address.
	 * @param client the IP address of the client
	 * @param toServer the fault of the direction from client to server
	 * @param toClient the fault of the direction from server to client
	 */
	public void set(String client, LinkFault toServer, LinkFault toClient) {
		this.serverBoundFaults.put(client, toServer);
		this.clientBoundFaults.put(client, toClient);
		if ((toServer == LinkFault.CLOSED) || (toClient == LinkFault.CLOSED)) {
			this.sockets.stream().filter((s) -> isFrom(s, client)).forEach(FaultProxy::closeQuietly);
		}
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
		this.sockets.forEach(FaultProxy::closeQuietly);
	}

	// ---- Helpers

	private void accept() {
		while (!this.closed) {
			try {
				Socket client = this.listener.accept();
				start("proxy-connect", () -> connect(client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket client) {
		String from = client.getInetAddress().getHostAddress();
		if (fault(this.serverBoundFaults, from) == LinkFault.CLOSED) {
			closeQuietly(client);
			return;
		}
		try {
			Socket server = new Socket();
			server.connect(this.target, 1000);
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			this.sockets.add(client);
			this.sockets.add(server);
			start("proxy-up", () -> forward(client, server, from, this.serverBoundFaults));
			start("proxy-down", () -> forward(server, client, from, this.clientBoundFaults));
		}
		catch (IOException ex) {
			closeQuietly(client);
		}
	}

	private void forward(Socket source, Socket sink, String client, Map<String, LinkFault> faults) {
		byte[] buffer = new byte[16 * 1024];
		try {
			InputStream in = source.getInputStream();
			OutputStream out = sink.getOutputStream();
			for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
				this.bytes.addAndGet(n);
				applyFault(client, faults);
				out.write(buffer, 0, n);
				out.flush();
			}
		}
		catch (IOException | InterruptedException ex) {
			// One side is closed; the other side is closed below.
		}
		closeQuietly(source);
		closeQuietly(sink);
		this.sockets.remove(source);
		this.sockets.remove(sink);
	}

	private void applyFault(String client, Map<String, LinkFault> faults) throws InterruptedException {
		if (fault(faults, client) == LinkFault.SLOW) {
			TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
		}
		while ((fault(faults, client) == LinkFault.SILENT) && !this.closed) {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private static LinkFault fault(Map<String, LinkFault> faults, String client) {
		return faults.getOrDefault(client, LinkFault.NONE);
	}

	private static boolean isFrom(Socket socket, String client) {
		InetAddress address = socket.getInetAddress();
		return (address != null) && address.getHostAddress().equals(client);
	}

	private static void start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is being discarded.
		}
	}

}
