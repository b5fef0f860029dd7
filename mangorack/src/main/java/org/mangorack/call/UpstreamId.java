package org.mangorack.call;

/**
 * Identifies an upstream.
 *
 * @param value the identifier as text
 */
public record UpstreamId(String value) {

	public UpstreamId {
		Identifiers.require("upstream", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
