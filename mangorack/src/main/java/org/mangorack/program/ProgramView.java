package org.mangorack.program;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;

/**
 * The externally visible state of a program, as shown to callers and operators.
 *
 * @param workspace the workspace
 * @param program the name of the program
 * @param state {@code idle}, {@code running} or {@code ended}
 * @param endReason why the program ended, or {@code null} if it has not ended
 * @param turns the number of finished turns
 * @param historyDigest the digest of the history, as computed by {@link Digests#extend}
 * @param root the root of the program's tree of sub-agents
 * @param parent the parent, or {@code null} for a root
 * @param budget the budget of the tree in tokens; 0 means no limit
 * @param charged the tokens charged to the tree
 * @param reserved the tokens reserved for turns of the tree that are in progress
 */
public record ProgramView(String workspace, String program, String state, String endReason, int turns,
		String historyDigest, String root, String parent, long budget, long charged, long reserved) {

	/**
	 * Converts the view to JSON.
	 * @return a new JSON object
	 */
	public ObjectNode toJson() {
		ObjectNode json = Jsons.object();
		json.put("workspace", this.workspace);
		json.put("id", this.program);
		json.put("state", this.state);
		if (this.endReason != null) {
			json.put("endReason", this.endReason);
		}
		json.put("turns", this.turns);
		json.put("historyDigest", this.historyDigest);
		json.put("root", this.root);
		if (this.parent != null) {
			json.put("parent", this.parent);
		}
		ObjectNode tokens = json.putObject("budget");
		tokens.put("limit", this.budget);
		tokens.put("charged", this.charged);
		tokens.put("reserved", this.reserved);
		if (this.budget > 0) {
			tokens.put("left", Math.max(0, this.budget - this.charged - this.reserved));
		}
		return json;
	}

}
