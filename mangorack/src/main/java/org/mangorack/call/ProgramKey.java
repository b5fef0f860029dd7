package org.mangorack.call;

/**
 * Identifies a program. Names are unique within a workspace, so programs of two
 * workspaces may have the same name.
 *
 * @param workspace the workspace that the program belongs to
 * @param program the name that the caller chose for the program
 */
public record ProgramKey(WorkspaceId workspace, String program) {

	public ProgramKey {
		Identifiers.require("program", program);
	}

	/**
	 * Returns the key of another program in the same workspace.
	 * @param name the name of the other program
	 * @return the key
	 */
	public ProgramKey withProgram(String name) {
		return new ProgramKey(this.workspace, name);
	}

	@Override
	public String toString() {
		return this.workspace + "/" + this.program;
	}

}
