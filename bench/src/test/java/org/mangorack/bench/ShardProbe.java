package org.mangorack.bench;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.ownership.ShardId;

/**
 * Reads the owners of shards from the stand-in for the platform.
 */
final class ShardProbe {

	private ShardProbe() {
	}

	static String ownerOf(TestFleet fleet, String key) throws Exception {
		ShardId shard = ShardId.of(key);
		JsonNode table = fleet.platform.object("shardtables", shard.table());
		String journal = table.path("spec").path("shards").path(shard.toString()).path("owner").asText();
		return journal.substring(0, journal.lastIndexOf('.'));
	}

}
