import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on, and can make those that are open silent for good. */
final class Proxy implements AutoCloseable {

	private final ServerSocket socket;

	private final String target;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private static final class Link {

		private Socket near;

		private Socket far;

		private volatile boolean silent;

	}

	Proxy(String host, String target) throws IOException {
		this.socket = new ServerSocket();
		this.socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
		this.target = target;
		Http.daemon(this::accept);
	}

	String address() {
		return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
	}

	/** Returns how many connections are open. */
	int open() {
		return this.links.size();
	}

	/** Passes no byte on any more on the connections that are open; new ones work. */
	int silence() {
		this.links.forEach((link) -> link.silent = true);
		return this.links.size();
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Link link = new Link();
				link.near = this.socket.accept();
				link.near.setTcpNoDelay(true);
				int colon = this.target.lastIndexOf(':');
				link.far = new Socket(this.target.substring(0, colon),
						Integer.parseInt(this.target.substring(colon + 1)));
				link.far.setTcpNoDelay(true);
				this.links.add(link);
				Http.daemon(() -> pass(link, link.near, link.far));
				Http.daemon(() -> pass(link, link.far, link.near));
			}
			catch (IOException ex) {
				// The proxy was closed, or the target does not listen.
			}
		}
	}

	private void pass(Link link, Socket from, Socket to) {
		byte[] buffer = new byte[65536];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (!link.silent) {
					out.write(buffer, 0, count);
					out.flush();
				}
			}
		}
		catch (IOException ex) {
			// One end was closed.
		}
		if (!link.silent) {
			close(link.near);
			close(link.far);
		}
		this.links.remove(link);
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
		this.links.forEach((link) -> {
			close(link.near);
			close(link.far);
		});
	}

}
