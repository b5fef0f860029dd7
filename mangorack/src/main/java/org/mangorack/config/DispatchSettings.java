package org.mangorack.config;

import java.util.List;

/**
 * Settings that determine how the owners of pools order and place model calls.
 *
 * @param policy the name of the policy
 * @param adaptive whether the limits of upstreams adapt to the times reported by calls
 * @param affinity whether calls are routed to the upstream that caches their history
 */
public record DispatchSettings(String policy, boolean adaptive, boolean affinity) {

	/**
	 * The names of the policies.
	 */
	public static final List<String> POLICIES = List.of("fair", "round-robin", "least-loaded", "sticky");

	/**
	 * The default settings.
	 */
	public static final DispatchSettings DEFAULT = new DispatchSettings(POLICIES.get(0), false, true);

	static DispatchSettings read(ObjectReader reader) {
		String policy = reader.string("policy", DEFAULT.policy());
		if (!POLICIES.contains(policy)) {
			reader.reject("policy", "is none of " + POLICIES);
		}
		DispatchSettings settings = DEFAULT.withPolicy(policy)
			.withAdaptive(reader.bool("adaptive", DEFAULT.adaptive()))
			.withAffinity(reader.bool("affinity", DEFAULT.affinity()));
		reader.reportUnknownFields();
		return settings;
	}

	/**
	 * Returns a copy with another policy.
	 * @param newPolicy the name of the policy
	 * @return the changed copy
	 */
	public DispatchSettings withPolicy(String newPolicy) {
		return new DispatchSettings(newPolicy, this.adaptive, this.affinity);
	}

	/**
	 * Returns a copy with or without adaptive limits.
	 * @param value whether limits adapt
	 * @return the changed copy
	 */
	public DispatchSettings withAdaptive(boolean value) {
		return new DispatchSettings(this.policy, value, this.affinity);
	}

	/**
	 * Returns a copy with or without cache affinity.
	 * @param value whether calls are routed to the upstream that caches their history
	 * @return the changed copy
	 */
	public DispatchSettings withAffinity(boolean value) {
		return new DispatchSettings(this.policy, this.adaptive, value);
	}

}
