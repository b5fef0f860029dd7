package org.mangorack.ownership;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.journal.JournalId;

/**
 * What the platform records of a shard.
 *
 * @param owner the run of the instance that owns the shard, or {@code null} if it never
 * had an owner
 * @param epoch grows by one with each change of the owner
 * @param sources where the entries are that the owner has not copied to its own journal
 * yet, oldest first
 */
record ShardRecord(JournalId owner, long epoch, List<Source> sources) {

	static final ShardRecord NONE = new ShardRecord(null, 0, List.of());

	/**
	 * Returns the record after the shard passed to a new owner.
	 * @param next the new owner
	 * @return the record of the next epoch
	 */
	ShardRecord passedTo(JournalId next) {
		List<Source> all = new ArrayList<>(this.sources);
		if (this.owner != null) {
			all.add(new Source(this.owner, this.epoch));
		}
		return new ShardRecord(next, this.epoch + 1, all);
	}

	/**
	 * Returns the record after the owner copied all entries.
	 * @return the record without sources
	 */
	ShardRecord copied() {
		return new ShardRecord(this.owner, this.epoch, List.of());
	}

	/**
	 * Tells whether a journal is still needed for the shard.
	 * @param journal the journal
	 * @return {@code true} if it is the owner's or a source
	 */
	boolean refersTo(JournalId journal) {
		return journal.equals(this.owner) || hasSource(journal);
	}

	/**
	 * Tells whether a journal holds entries that are not copied yet.
	 * @param journal the journal
	 * @return {@code true} if it is a source
	 */
	boolean hasSource(JournalId journal) {
		return this.sources.stream().anyMatch((s) -> s.journal().equals(journal));
	}

	ObjectNode toJson() {
		ObjectNode json = Jsons.object();
		if (this.owner != null) {
			json.put("owner", this.owner.toString());
		}
		json.put("epoch", this.epoch);
		ArrayNode array = json.putArray("sources");
		for (Source source : this.sources) {
			array.addObject().put("journal", source.journal().toString()).put("epoch", source.epoch());
		}
		return json;
	}

	static ShardRecord fromJson(JsonNode json) {
		List<Source> sources = new ArrayList<>();
		json.path("sources")
			.forEach((s) -> sources
				.add(new Source(JournalId.parse(s.path("journal").asText()), s.path("epoch").asLong())));
		JournalId owner = json.has("owner") ? JournalId.parse(json.path("owner").asText()) : null;
		return new ShardRecord(owner, json.path("epoch").asLong(), sources);
	}

	/**
	 * The entries that a former owner wrote.
	 *
	 * @param journal the journal of the former owner
	 * @param epoch the epoch that the entries carry
	 */
	record Source(JournalId journal, long epoch) {
	}

}
