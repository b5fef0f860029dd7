package org.mangorack.keeper;

import org.mangorack.keeper.proto.Reply;

/**
 * Receives the outcome of a request to a keeper.
 */
interface ReplyListener {

	/**
	 * Ignores the outcome of a request.
	 */
	ReplyListener NONE = new ReplyListener() {
		@Override
		public void replied(Reply reply) {
			// The reply is not needed.
		}

		@Override
		public void connectionLost() {
			// The request is sent on a best-effort basis.
		}
	};

	/**
	 * Reports a reply. A successful reply that is not durable yet is followed by another
	 * one.
	 * @param reply the reply
	 */
	void replied(Reply reply);

	/**
	 * Reports that the connection was lost before the last reply. The request may have
	 * taken effect.
	 */
	void connectionLost();

}
