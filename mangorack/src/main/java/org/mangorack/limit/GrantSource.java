package org.mangorack.limit;

import java.util.Optional;

import org.mangorack.config.Workspace;
import org.mangorack.limit.BucketTable.Grant;

/**
 * Requests grants from the owner of the token bucket of a workspace.
 */
@FunctionalInterface
public interface GrantSource {

	/**
	 * Requests a grant. Blocks for one round trip to the owner.
	 * @param workspace the workspace
	 * @param maxCalls the maximum number of calls to request
	 * @return the grant, or empty if the owner is unreachable
	 */
	Optional<Grant> requestGrant(Workspace workspace, int maxCalls);

}
