package org.mangorack.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair queueing between workspaces. A workspace is charged the predicted work
 * of a call when it starts, and the difference to the actual work afterwards.
 */
final class FairShares {

	private final Map<String, Double> finishTags = new HashMap<>();

	private double virtualTime;

	/**
	 * Returns the tag that the next call of a workspace starts with; the smallest is
	 * served next. A workspace that was idle gets no credit for it.
	 * @param workspace the workspace
	 * @return the start tag
	 */
	double startTag(String workspace) {
		return Math.max(this.virtualTime, this.finishTags.getOrDefault(workspace, 0.0));
	}

	/**
	 * Charges a call that starts.
	 * @param workspace the workspace
	 * @param weight its weight
	 * @param work the predicted work
	 */
	void charge(String workspace, double weight, double work) {
		double start = startTag(workspace);
		this.virtualTime = start;
		this.finishTags.put(workspace, start + (work / weight));
	}

	/**
	 * Corrects the charge of a call that finished.
	 * @param workspace the workspace
	 * @param weight its weight
	 * @param difference the actual work less the predicted work
	 */
	void correct(String workspace, double weight, double difference) {
		this.finishTags.computeIfPresent(workspace, (w, tag) -> tag + (difference / weight));
	}

	/**
	 * Forgets workspaces that are not behind the virtual time, as they start anew anyway.
	 */
	void evictIdle() {
		this.finishTags.values().removeIf((tag) -> tag <= this.virtualTime);
	}

}
