package org.mangorack.ownership;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.journal.JournalId;

/**
 * The record of a shard in a table object on the platform.
 *
 * @param owner the run of the instance that owns the shard, or {@code null} if it never
 * had an owner
 * @param epoch incremented with each change of the owner, starting from 0
 * @param sources the journals and epochs of previous owners whose entries the owner has
 * not yet copied to its own journal, oldest first
 */
record ShardRecord(JournalId owner, long epoch, List<Source> sources) {

	static final ShardRecord NONE = new ShardRecord(null, 0, List.of());

	/**
	 * Returns the record after a change of the owner. The previous owner becomes a
	 * source.
	 * @param next the new owner
	 * @return the record of the next epoch
	 */
	ShardRecord withOwner(JournalId next) {
		List<Source> all = new ArrayList<>(this.sources);
		if (this.owner != null) {
			all.add(new Source(this.owner, this.epoch));
		}
		return new ShardRecord(next, this.epoch + 1, all);
	}

	/**
	 * Returns the record after the owner has copied the entries of all sources.
	 * @return the record without sources
	 */
	ShardRecord withoutSources() {
		return new ShardRecord(this.owner, this.epoch, List.of());
	}

	/**
	 * Returns whether a journal is still needed for the shard.
	 * @param journal the journal
	 * @return {@code true} if the journal belongs to the owner or is a source
	 */
	boolean refersTo(JournalId journal) {
		return journal.equals(this.owner) || hasSource(journal);
	}

	/**
	 * Returns whether a journal contains entries that the owner has not copied yet.
	 * @param journal the journal
	 * @return {@code true} if the journal is a source
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
	 * Identifies the entries written by a previous owner.
	 *
	 * @param journal the journal of the previous owner
	 * @param epoch the epoch in which the entries were written
	 */
	record Source(JournalId journal, long epoch) {
	}

}
