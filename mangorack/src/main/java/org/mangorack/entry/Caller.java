package org.mangorack.entry;

import org.mangorack.call.CallRequest;
import org.mangorack.config.Workspace;
import org.mangorack.key.VerifiedKey;

/**
 * A call whose API key has been verified.
 *
 * @param call the call, with the key removed from its headers
 * @param key the verified key
 * @param workspace the workspace that the key belongs to
 * @param age the age of the key and configuration caches, taken before the key was
 * verified
 */
record Caller(CallRequest call, VerifiedKey key, Workspace workspace, CacheFreshness.Age age) {
}
