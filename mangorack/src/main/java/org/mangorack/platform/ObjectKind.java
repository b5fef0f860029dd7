package org.mangorack.platform;

/**
 * The kinds of objects stored in the platform.
 */
public enum ObjectKind {

	/** The lease of an instance. */
	LEASE("leases"),

	/** The assignment of owners to a range of shards. */
	SHARD_TABLE("shardtables"),

	/** A segment of a journal. */
	SEGMENT("segments"),

	/** A part of the configuration. */
	CONFIGURATION("configurations"),

	/** The digest of a key. */
	KEY("keys"),

	/** The platform's own list of instances, which lags behind. Read-only. */
	INSTANCE("instances"),

	/** A keeper and its disk, registered by the keeper on its first start. */
	KEEPER("keepers"),

	/** The group of keepers. */
	KEEPER_GROUP("keepergroups"),

	/** The routes, pools and workspaces of an entire fleet. Read-only. */
	FLEET_CONFIGURATION("fleetconfigurations"),

	/** An upstream, registered by the upstream itself. Read-only. */
	UPSTREAM("upstreams"),

	/** A request to drain a keeper. Only its status is written. */
	RETIREMENT("retirements"),

	/**
	 * A request to send nothing to the upstreams of the data centre that it is named
	 * after. Read-only.
	 */
	EVACUATION("evacuations");

	private final String plural;

	ObjectKind(String plural) {
		this.plural = plural;
	}

	/**
	 * Returns the name of the kind in request paths.
	 * @return the plural name
	 */
	public String plural() {
		return this.plural;
	}

}
