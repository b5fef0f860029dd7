package org.mangorack.bench;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Selects free ports for nodes that are started later.
 */
public final class FreePorts {

	// Below the ephemeral port range of operating systems, so that no other socket takes
	// a
	// port between its selection and its use.
	private static final int FIRST = 20_000;

	private static final int COUNT = 10_000;

	private static final AtomicInteger NEXT = new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

	private FreePorts() {
	}

	/**
	 * Returns a port that no socket listens on. Successive calls return different ports.
	 * @param host the address to listen on
	 * @return the port
	 * @throws IOException if none is free
	 */
	public static int next(String host) throws IOException {
		for (int i = 0; i < COUNT; i++) {
			int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				// The port is in use, so the next one is tried.
			}
		}
		throw new IOException("no port of " + host + " from " + FIRST + " on is free");
	}

}
