package org.mangorack.config;

/**
 * The kinds of upstreams.
 */
public enum UpstreamKind {

	/** A model engine. */
	MODEL,

	/** A plain service. */
	SERVICE;

	/**
	 * Parses a kind from its name in the configuration.
	 * @param text {@code model} or {@code service}
	 * @return the kind
	 * @throws IllegalArgumentException if there is no such kind
	 */
	public static UpstreamKind parse(String text) {
		return switch (text) {
			case "model" -> MODEL;
			case "service" -> SERVICE;
			default -> throw new IllegalArgumentException("the kind is neither \"model\" nor \"service\"");
		};
	}

}
