package org.mangorack.config;

import java.time.Duration;
import java.util.Set;

import org.mangorack.call.WorkspaceId;

/**
 * A workspace of the configuration.
 *
 * @param id the workspace
 * @param ratePerSecond the rate limit in calls per second across all instances
 * @param burst the maximum burst of calls
 * @param weight the share of upstream capacity relative to other workspaces
 * @param maxTurns the maximum number of turns of a program
 * @param programIdle how long a program may be idle before it ends
 * @param budgetTokens the token budget of programs that specify none; 0 means unlimited
 * @param pools the pools and models that the workspace may use; empty means all
 */
public record Workspace(WorkspaceId id, double ratePerSecond, double burst, double weight, int maxTurns,
		Duration programIdle, long budgetTokens, Set<String> pools) {

	private static final double MAX_RATE = 1_000_000;

	static Workspace read(String name, ObjectReader reader) {
		ObjectReader rate = reader.object("rate");
		Workspace workspace = new Workspace(new WorkspaceId(name), rate.number("perSecond", 0.01, MAX_RATE, 100),
				rate.number("burst", 1, MAX_RATE, 200), reader.number("weight", 0.01, 1000, 1),
				(int) reader.integer("maxTurns", 1, 100_000, 250),
				Duration.ofSeconds(reader.integer("programIdleSeconds", 1, 7 * 86_400, 1800)),
				reader.integer("budgetTokens", 0, Long.MAX_VALUE / 4, 0), Set.copyOf(reader.strings("pools")));
		rate.reportUnknownFields();
		return workspace;
	}

	/**
	 * Returns whether the workspace may use a pool or model.
	 * @param pool the name of the pool or model
	 * @return {@code true} if it may
	 */
	public boolean mayUse(String pool) {
		return this.pools.isEmpty() || this.pools.contains(pool);
	}

}
