package org.mangorack.bench.fleet;

import java.io.IOException;

import org.mangorack.bench.fleet.FaultyUpstream.Exchange;

/**
 * How an upstream departs from one sound response with success.
 */
enum UpstreamFault {

	/** The response is sent a second time. */
	COPY {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendWithAnyStatus();
			exchange.sendLater(exchange.response().text());
			return true;
		}

	},

	/** The response is sent a second time, without the id of its request. */
	COPY_WITHOUT_ID {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendWithAnyStatus();
			exchange.sendLater(exchange.response().text().replace(exchange.response().idHeader(), ""));
			return true;
		}

	},

	/** The response is sent a second time, with a pause in it. */
	COPY_IN_TWO_PIECES {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendWithAnyStatus();
			String text = exchange.response().text();
			int cut = exchange.cut(text.length());
			exchange.sendLater(text.substring(0, cut), text.substring(cut));
			return true;
		}

	},

	/** A part of the response is sent a second time. */
	TORN_COPY {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendWithAnyStatus();
			String text = exchange.response().text();
			exchange.sendLater(text.substring(0, exchange.cut(text.length())));
			return true;
		}

	},

	/** Bytes that are no response follow. */
	BYTES_BEHIND {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendWithAnyStatus();
			exchange.sendLater(NO_RESPONSE);
			return true;
		}

	},

	/** Bytes that are no response are sent first. */
	BYTES_BEFORE {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.spoil();
			exchange.write(NO_RESPONSE);
			exchange.send();
			return true;
		}

	},

	/** The response has no length and ends with its connection. */
	NO_LENGTH {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.setResponse(exchange.response().withoutLength());
			exchange.send();
			return false;
		}

	},

	/** The response has no length, and its connection is reset in the middle. */
	NO_LENGTH_RESET {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.setResponse(exchange.response().withoutLength());
			exchange.sendCut();
			exchange.reset();
			return false;
		}

	},

	/** The connection is closed in the head or body of the response. */
	BROKEN_OFF {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendCut();
			return false;
		}

	},

	/** The connection is reset in the head or body of the response. */
	RESET {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.sendCut();
			exchange.reset();
			return false;
		}

	},

	/** The request fails. */
	FAILURE {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.setResponse(exchange.response().failed(500));
			exchange.send();
			return true;
		}

	},

	/** The request is refused and is not run. */
	NOT_RUN {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.setResponse(exchange.response().failed(UpstreamResponse.NOT_RUN));
			exchange.send();
			return true;
		}

	},

	/**
	 * The request fails before its body is read, and the connection is used further.
	 */
	EARLY_FAILURE {

		@Override
		boolean isEarly() {
			return true;
		}

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.setResponse(exchange.response().failed(500));
			exchange.send();
			return true;
		}

	},

	/** Interim responses come first. */
	INTERIM {

		@Override
		boolean respond(Exchange exchange) throws IOException {
			exchange.write("HTTP/1.1 100 Continue\r\n\r\n");
			exchange.write("HTTP/1.1 103 Early Hints\r\n" + exchange.response().idHeader() + "Link: </a>\r\n\r\n");
			exchange.send();
			return true;
		}

	};

	private static final String NO_RESPONSE = "\u0000\u0001 no response\r\n\r\n{\"x\":1}\r\n";

	/**
	 * Tells whether the response is written before the body of the request is read.
	 * @return {@code true} if it is
	 */
	boolean isEarly() {
		return false;
	}

	/**
	 * Writes the response and what is wrong with it.
	 * @param exchange the exchange
	 * @return {@code true} to keep the connection open
	 * @throws IOException if the connection fails
	 */
	abstract boolean respond(Exchange exchange) throws IOException;

}
