package org.mangorack.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Reads and updates the table objects that record the owners of shards.
 */
final class ShardTables {

	private static final int MAX_UPDATE_ATTEMPTS = 5;

	private final ObjectStore store;

	private final KindCache cache;

	private volatile Parsed parsed = new Parsed(null, Map.of());

	ShardTables(ObjectStore store, KindCache cache) {
		this.store = store;
		this.cache = cache;
	}

	/**
	 * Returns the records from the local cache.
	 * @return a record for each shard
	 */
	Map<ShardId, ShardRecord> records() {
		Map<String, StoredObject> objects = this.cache.objects();
		Parsed last = this.parsed;
		if (last.objects() == objects) {
			return last.records();
		}
		Map<ShardId, ShardRecord> records = new TreeMap<>();
		for (int i = 0; i < ShardId.SHARD_COUNT; i++) {
			ShardId shard = new ShardId(i);
			Optional<StoredObject> table = Optional.ofNullable(objects.get(shard.table()));
			records.put(shard, table.map((t) -> record(t.spec(), shard)).orElse(ShardRecord.NONE));
		}
		this.parsed = new Parsed(objects, records);
		return records;
	}

	/**
	 * Returns the record of a shard from the local cache.
	 * @param shard the shard
	 * @return the record
	 */
	ShardRecord record(ShardId shard) {
		return records().get(shard);
	}

	/**
	 * Updates records of one table with a conditional write. If another instance wrote
	 * first, the change is applied again to the newest records, up to a limit of
	 * attempts.
	 * @param table the name of the table
	 * @param change maps a shard and its record to the new record, or to the same record
	 * if there is nothing to change
	 * @return the records after the change
	 * @throws StoreException if a call to the platform fails, or if all attempts failed
	 * because of conflicts or unknown outcomes
	 */
	Map<ShardId, ShardRecord> change(String table, BiFunction<ShardId, ShardRecord, ShardRecord> change)
			throws StoreException {
		StoreException last = null;
		for (int i = 0; i < MAX_UPDATE_ATTEMPTS; i++) {
			Optional<StoredObject> stored = this.store.get(ObjectKind.SHARD_TABLE, table);
			Map<ShardId, ShardRecord> before = records(table, stored);
			Map<ShardId, ShardRecord> after = new TreeMap<>();
			before.forEach((shard, record) -> after.put(shard, change.apply(shard, record)));
			if (after.equals(before)) {
				return after;
			}
			try {
				write(table, stored, after);
				return after;
			}
			catch (StoreException ex) {
				// Reading the table again resolves both a conflict and an unknown
				// outcome: if the write took effect, the change has nothing left to do.
				if ((ex.reason() != StoreException.Reason.CONFLICT) && !ex.reason().isAmbiguous()) {
					throw ex;
				}
				last = ex;
			}
		}
		throw last;
	}

	/**
	 * Reads all records from the platform, bypassing the local cache.
	 * @return a record for each shard
	 * @throws StoreException if a call to the platform fails
	 */
	Map<ShardId, ShardRecord> read() throws StoreException {
		Map<ShardId, ShardRecord> records = new TreeMap<>();
		for (int i = 0; i < ShardId.SHARD_COUNT; i += ShardId.SHARDS_PER_TABLE) {
			String table = new ShardId(i).table();
			records.putAll(records(table, this.store.get(ObjectKind.SHARD_TABLE, table)));
		}
		return records;
	}

	/**
	 * Reads the records of a table after ensuring that no earlier write with an unknown
	 * outcome can still take effect. Writing the unchanged records gives the table a new
	 * version, so that a delayed write fails its version check.
	 * @param table the name of the table
	 * @return the records
	 * @throws StoreException if a call to the platform fails
	 */
	Map<ShardId, ShardRecord> fenceAndRead(String table) throws StoreException {
		Optional<StoredObject> stored = this.store.get(ObjectKind.SHARD_TABLE, table);
		Map<ShardId, ShardRecord> records = records(table, stored);
		write(table, stored, records);
		return records;
	}

	private void write(String table, Optional<StoredObject> stored, Map<ShardId, ShardRecord> records)
			throws StoreException {
		ObjectNode spec = Jsons.object();
		spec.put("nonce", UUID.randomUUID().toString());
		ObjectNode shards = spec.putObject("shards");
		records.forEach((shard, record) -> shards.set(shard.toString(), record.toJson()));
		if (stored.isPresent()) {
			this.store.update(ObjectKind.SHARD_TABLE, table, stored.get().version(), spec);
		}
		else {
			this.store.create(ObjectKind.SHARD_TABLE, table, spec);
		}
	}

	private static Map<ShardId, ShardRecord> records(String table, Optional<StoredObject> stored) {
		Map<ShardId, ShardRecord> records = new TreeMap<>();
		for (int i = 0; i < ShardId.SHARD_COUNT; i++) {
			ShardId shard = new ShardId(i);
			if (shard.table().equals(table)) {
				records.put(shard, stored.map((t) -> record(t.spec(), shard)).orElse(ShardRecord.NONE));
			}
		}
		return records;
	}

	private static ShardRecord record(JsonNode spec, ShardId shard) {
		JsonNode json = spec.path("shards").path(shard.toString());
		return json.isMissingNode() ? ShardRecord.NONE : ShardRecord.fromJson(json);
	}

	/**
	 * The records parsed from one state of the local cache.
	 *
	 * @param objects the cached objects
	 * @param records the records parsed from them
	 */
	private record Parsed(Map<String, StoredObject> objects, Map<ShardId, ShardRecord> records) {
	}

}
