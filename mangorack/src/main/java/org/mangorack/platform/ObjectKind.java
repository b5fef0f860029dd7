package org.mangorack.platform;

/**
 * The kinds of objects kept in the platform.
 */
public enum ObjectKind {

	/** The lease of an instance. */
	LEASE("leases"),

	/** The owners of a range of shards. */
	SHARD_TABLE("shardtables"),

	/** A segment of a journal. */
	SEGMENT("segments"),

	/** A part of the configuration. */
	CONFIGURATION("configurations"),

	/** The digest of a key. */
	KEY("keys"),

	/** The platform's own, lagging list of instances. Read only. */
	INSTANCE("instances"),

	/** A keeper and its disk, as it announces itself at the first start. */
	KEEPER("keepers"),

	/** The group of keepers. */
	KEEPER_GROUP("keepergroups"),

	/** The routes, pools and workspaces of a whole fleet. Read only. */
	FLEET_CONFIGURATION("fleetconfigurations"),

	/** The upstreams, as they announce themselves. Read only. */
	UPSTREAM("upstreams"),

	/** A keeper that is to be emptied. Only its status is written. */
	RETIREMENT("retirements");

	private final String plural;

	ObjectKind(String plural) {
		this.plural = plural;
	}

	/**
	 * Returns the name used in paths.
	 * @return the plural of the kind
	 */
	public String plural() {
		return this.plural;
	}

}
