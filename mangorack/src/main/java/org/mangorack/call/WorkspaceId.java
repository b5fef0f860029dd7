package org.mangorack.call;

/**
 * Identifies a workspace.
 *
 * @param value the identifier as text
 */
public record WorkspaceId(String value) {

	public WorkspaceId {
		Identifiers.require("workspace", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
