package org.mangorack.key;

import org.mangorack.call.WorkspaceId;

/**
 * A key that a caller presented and that was verified. It does not contain the secret.
 *
 * @param id the id of the key
 * @param workspace the workspace that the key belongs to
 */
public record VerifiedKey(String id, WorkspaceId workspace) {
}
