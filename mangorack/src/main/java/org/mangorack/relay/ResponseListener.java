package org.mangorack.relay;

import io.netty.buffer.ByteBuf;

import org.mangorack.relay.FleetProtocol.AnswerHead;

/**
 * Receives the answer of an upstream.
 */
interface ResponseListener {

	/**
	 * Reports the head of the answer.
	 * @param head the head
	 */
	void head(AnswerHead head);

	/**
	 * Reports bytes of the body.
	 * @param bytes the bytes, which the connection releases
	 */
	void data(ByteBuf bytes);

	/**
	 * Reports that the answer is whole.
	 */
	void end();

	/**
	 * Reports that the answer will not become whole. Nothing follows.
	 * @param cause what happened
	 */
	void incomplete(String cause);

}
