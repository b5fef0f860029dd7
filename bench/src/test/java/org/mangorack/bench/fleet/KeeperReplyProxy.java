package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Reply;

/**
 * Relays the links of an entry to one keeper, and can hold back the replies that say that
 * a reservation is synced to disk, as a keeper with a slow disk does.
 */
final class KeeperReplyProxy implements AutoCloseable {

	private static final String HOST = "127.0.0.4";

	private final ServerSocket listening;

	private final List<Socket> sockets = new ArrayList<>();

	private boolean holding;

	KeeperReplyProxy() throws IOException {
		this.listening = new ServerSocket(0, 10, InetAddress.getByName(HOST));
	}

	/**
	 * Starts to relay connections.
	 * @param keeper the address of the keeper
	 * @return the address of the proxy
	 */
	HttpAddress start(HttpAddress keeper) {
		startDaemon(() -> accept(keeper));
		return new HttpAddress(HOST, this.listening.getLocalPort());
	}

	synchronized void hold() {
		this.holding = true;
	}

	synchronized void release() {
		this.holding = false;
		notifyAll();
	}

	@Override
	public synchronized void close() throws IOException {
		release();
		this.listening.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void accept(HttpAddress keeper) {
		while (!this.listening.isClosed()) {
			try {
				Socket entry = this.listening.accept();
				Socket target = new Socket(keeper.host(), keeper.port());
				synchronized (this) {
					this.sockets.addAll(List.of(entry, target));
				}
				startDaemon(() -> relay(entry, target, this::copyBytes));
				startDaemon(() -> relay(target, entry, this::copyReplies));
			}
			catch (IOException ex) {
				// The proxy was closed, or the keeper is gone and the entry connects
				// again.
			}
		}
	}

	private static void relay(Socket from, Socket to, Copy copy) {
		try (from; to) {
			copy.run(from.getInputStream(), to.getOutputStream());
		}
		catch (IOException ex) {
			// One of the two ends has closed the link.
		}
	}

	private void copyBytes(InputStream in, OutputStream out) throws IOException {
		in.transferTo(out);
	}

	// Replies that are held back do not delay others.
	private void copyReplies(InputStream in, OutputStream out) throws IOException {
		for (Reply reply = Reply.parseDelimitedFrom(in); reply != null; reply = Reply.parseDelimitedFrom(in)) {
			if (reply.getDurable() && reply.hasCharges()) {
				Reply held = reply;
				startDaemon(() -> sendWhenReleased(held, out));
			}
			else {
				write(reply, out);
			}
		}
	}

	private synchronized void sendWhenReleased(Reply reply, OutputStream out) {
		try {
			while (this.holding) {
				wait();
			}
			write(reply, out);
		}
		catch (IOException ex) {
			// The link was closed.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void write(Reply reply, OutputStream out) throws IOException {
		synchronized (out) {
			reply.writeDelimitedTo(out);
			out.flush();
		}
	}

	private static void startDaemon(Runnable task) {
		Thread thread = new Thread(task, "keeper-reply-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Copies one direction of a link.
	 */
	@FunctionalInterface
	private interface Copy {

		void run(InputStream in, OutputStream out) throws IOException;

	}

}
