package org.mangorack.call;

/**
 * Identifies a program within its workspace. Equal program names of two workspaces are
 * two programs.
 *
 * @param workspace the workspace that the program belongs to
 * @param program the name that the caller chose
 */
public record ProgramKey(WorkspaceId workspace, String program) {

	public ProgramKey {
		Identifiers.require("program", program);
	}

	/**
	 * Returns the key of another program of the same workspace.
	 * @param name the name of the other program
	 * @return the key
	 */
	public ProgramKey sibling(String name) {
		return new ProgramKey(this.workspace, name);
	}

	@Override
	public String toString() {
		return this.workspace + "/" + this.program;
	}

}
