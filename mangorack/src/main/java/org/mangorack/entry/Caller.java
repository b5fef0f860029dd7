package org.mangorack.entry;

import org.mangorack.call.CallRequest;
import org.mangorack.config.Workspace;
import org.mangorack.key.VerifiedKey;

/**
 * A call whose key was verified.
 *
 * @param call the call, without the key
 * @param key the verified key
 * @param workspace the workspace of the key
 * @param age the age of the copies of keys and configuration before the key was verified
 */
record Caller(CallRequest call, VerifiedKey key, Workspace workspace, RecentCopies.Age age) {
}
