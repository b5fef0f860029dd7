package org.mangorack.limit;

import java.util.Optional;

import org.mangorack.config.Workspace;
import org.mangorack.limit.BucketTable.Grant;

/**
 * Draws grants from the owner of a workspace's bucket.
 */
@FunctionalInterface
public interface GrantSource {

	/**
	 * Draws a grant. Blocks for one exchange with the owner.
	 * @param workspace the workspace
	 * @param maxCalls the most calls to requestGrant
	 * @return the grant, or empty when the owner cannot be reached
	 */
	Optional<Grant> requestGrant(Workspace workspace, int maxCalls);

}
