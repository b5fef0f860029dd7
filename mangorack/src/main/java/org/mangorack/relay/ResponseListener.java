package org.mangorack.relay;

import io.netty.buffer.ByteBuf;

import org.mangorack.relay.FleetProtocol.ResponseHead;

/**
 * Receives the response of an upstream.
 */
interface ResponseListener {

	/**
	 * Called with the head of the response.
	 * @param head the head
	 */
	void head(ResponseHead head);

	/**
	 * Called with bytes of the body.
	 * @param bytes the bytes, which the connection releases
	 */
	void data(ByteBuf bytes);

	/**
	 * Called when the response is complete.
	 */
	void end();

	/**
	 * Called when the response ended before it was complete. No further call follows.
	 * @param cause what happened
	 */
	void incomplete(String cause);

}
