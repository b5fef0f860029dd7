package org.mangorack.ownership;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Identifies a shard.
 *
 * @param number the number of the shard
 */
public record ShardId(int number) implements Comparable<ShardId> {

	/**
	 * Number of shards of the fleet. Fixed, because all instances must map a key to the
	 * same shard.
	 */
	public static final int SHARD_COUNT = 64;

	/**
	 * Number of shards per table object.
	 */
	public static final int SHARDS_PER_TABLE = 16;

	public ShardId {
		if ((number < 0) || (number >= SHARD_COUNT)) {
			throw new IllegalArgumentException("shard number " + number + " is out of range 0.." + (SHARD_COUNT - 1));
		}
	}

	/**
	 * Maps a key to its shard.
	 * @param key the string to hash
	 * @return the shard
	 */
	public static ShardId of(String key) {
		CRC32 crc = new CRC32();
		crc.update(key.getBytes(StandardCharsets.UTF_8));
		return new ShardId((int) (crc.getValue() % SHARD_COUNT));
	}

	/**
	 * Returns the name of the table object that records the owner of this shard.
	 * @return the name
	 */
	public String table() {
		return "table-" + (this.number / SHARDS_PER_TABLE);
	}

	@Override
	public int compareTo(ShardId other) {
		return Integer.compare(this.number, other.number);
	}

	@Override
	public String toString() {
		return Integer.toString(this.number);
	}

}
