package org.mangorack.program;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;

/**
 * What callers and operators see of a program.
 *
 * @param workspace the workspace
 * @param program the name of the program
 * @param state {@code idle}, {@code running} or {@code ended}
 * @param endReason why it ended, or {@code null}
 * @param turns the number of finished turns
 * @param historyDigest the chained digest of the history
 * @param root the root of the tree of sub-agents
 * @param parent the parent, or {@code null}
 * @param budget the budget of the tree in tokens; 0 means no limit
 * @param charged the tokens that the tree used
 * @param reserved the tokens that calls under way may still use
 */
public record ProgramView(String workspace, String program, String state, String endReason, int turns,
		String historyDigest, String root, String parent, long budget, long charged, long reserved) {

	/**
	 * Writes the view as JSON.
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
