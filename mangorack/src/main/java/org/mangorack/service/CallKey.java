package org.mangorack.service;

import org.mangorack.call.WorkspaceId;

/**
 * Identifies a service call that must run at most once.
 *
 * @param workspace the workspace of the caller
 * @param key the value of the {@code Idempotency-Key} header
 */
public record CallKey(WorkspaceId workspace, String key) {

	/**
	 * Maximum length of a key, in characters.
	 */
	public static final int MAX_LENGTH = 255;

	@Override
	public String toString() {
		return this.workspace + "/" + this.key;
	}

}
