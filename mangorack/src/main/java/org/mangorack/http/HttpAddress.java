package org.mangorack.http;

/**
 * The address of a server.
 *
 * @param host the IP address or host name
 * @param port the TCP port
 */
public record HttpAddress(String host, int port) {

	private static final int MAX_PORT = 65535;

	public HttpAddress {
		if ((port < 0) || (port > MAX_PORT)) {
			throw new IllegalArgumentException("port " + port + " of host \"" + host + "\" is out of range 0..65535");
		}
	}

	/**
	 * Parses an address.
	 * @param text the address as {@code HOST:PORT}
	 * @return the address
	 * @throws IllegalArgumentException if the text is not a valid address
	 */
	public static HttpAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("address \"" + text + "\" is not HOST:PORT");
		}
		try {
			return new HttpAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("address \"" + text + "\" is not HOST:PORT", ex);
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
