package org.mangorack.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair queueing between workspaces. A workspace is charged the predicted work
 * of a call when the call starts; the charge is corrected to the actual work when the
 * call finishes.
 */
final class FairShares {

	private final Map<String, Double> finishTags = new HashMap<>();

	private double virtualTime;

	/**
	 * Returns the start tag of the next call of a workspace. The workspace with the
	 * smallest tag is served next. A workspace accumulates no credit while it is idle.
	 * @param workspace the workspace
	 * @return the start tag
	 */
	double startTag(String workspace) {
		return Math.max(this.virtualTime, this.finishTags.getOrDefault(workspace, 0.0));
	}

	/**
	 * Charges a workspace for a call that starts.
	 * @param workspace the workspace
	 * @param weight the weight of the workspace
	 * @param work the predicted work
	 */
	void charge(String workspace, double weight, double work) {
		double start = startTag(workspace);
		this.virtualTime = start;
		this.finishTags.put(workspace, start + (work / weight));
	}

	/**
	 * Corrects the charge for a call that finished.
	 * @param workspace the workspace
	 * @param weight the weight of the workspace
	 * @param difference the actual work minus the predicted work
	 */
	void correct(String workspace, double weight, double difference) {
		this.finishTags.computeIfPresent(workspace, (w, tag) -> tag + (difference / weight));
	}

	/**
	 * Removes workspaces whose finish tag is not greater than the virtual time, because
	 * their next start tag is the virtual time in any case.
	 */
	void evictIdle() {
		this.finishTags.values().removeIf((tag) -> tag <= this.virtualTime);
	}

}
