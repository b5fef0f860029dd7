package org.mangorack.key;

import org.mangorack.call.WorkspaceId;

/**
 * A key that was shown and found valid. The secret is not part of it.
 *
 * @param id the id of the key
 * @param workspace the workspace that the key belongs to
 */
public record VerifiedKey(String id, WorkspaceId workspace) {
}
