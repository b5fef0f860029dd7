package org.mangorack.keeper;

import org.mangorack.keeper.proto.Reply;

/**
 * Receives what becomes of a request to a keeper.
 */
interface ReplyListener {

	/**
	 * Ignores what becomes of a request.
	 */
	ReplyListener NONE = new ReplyListener() {
		@Override
		public void replied(Reply reply) {
			// Nothing depends on the reply.
		}

		@Override
		public void broke() {
			// Nothing depends on the request.
		}
	};

	/**
	 * Reports a reply. A reply that is not durable yet is followed by another.
	 * @param reply the reply
	 */
	void replied(Reply reply);

	/**
	 * Reports that the link broke before the last reply. The request may have taken
	 * effect.
	 */
	void broke();

}
