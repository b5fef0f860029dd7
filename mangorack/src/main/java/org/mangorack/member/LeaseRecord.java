package org.mangorack.member;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.http.HttpAddress;
import org.mangorack.journal.JournalId;
import org.mangorack.platform.StoredObject;

/**
 * The content of a lease object.
 *
 * @param journal the run of the instance
 * @param dataCentre the data centre of the instance
 * @param callers the address for callers
 * @param operators the address for operators
 * @param peers the address for other instances
 * @param phase what the instance is doing
 * @param firstSegment the number of the first segment of its journal
 * @param renewals the number of renewals so far
 * @param nonce identifies the last write
 */
public record LeaseRecord(JournalId journal, String dataCentre, HttpAddress callers, HttpAddress operators,
		HttpAddress peers, Phase phase, long firstSegment, long renewals, String nonce) {

	/**
	 * Returns the record of the next renewal.
	 * @param newPhase what the instance is doing
	 * @param newFirstSegment the number of the first segment of its journal
	 * @param newNonce identifies the write
	 * @return the record
	 */
	public LeaseRecord renewed(Phase newPhase, long newFirstSegment, String newNonce) {
		return new LeaseRecord(this.journal, this.dataCentre, this.callers, this.operators, this.peers, newPhase,
				newFirstSegment, this.renewals + 1, newNonce);
	}

	/**
	 * Returns the name of the instance.
	 * @return the name
	 */
	public String instance() {
		return this.journal.instance();
	}

	/**
	 * Writes the record as the content of an object.
	 * @return a new JSON object
	 */
	public ObjectNode toJson() {
		ObjectNode json = Jsons.object();
		json.put("dataCentre", this.dataCentre);
		json.put("callers", this.callers.toString());
		json.put("operators", this.operators.toString());
		json.put("peers", this.peers.toString());
		json.put("phase", this.phase.name());
		json.put("firstSegment", this.firstSegment);
		json.put("renewals", this.renewals);
		json.put("nonce", this.nonce);
		return json;
	}

	/**
	 * Reads the content of an object.
	 * @param object the object
	 * @return the record, or empty when the object is no lease
	 */
	public static Optional<LeaseRecord> read(StoredObject object) {
		JsonNode spec = object.spec();
		try {
			return Optional.of(new LeaseRecord(JournalId.parse(object.name()), spec.path("dataCentre").asText(),
					HttpAddress.parse(spec.path("callers").asText()),
					HttpAddress.parse(spec.path("operators").asText()), HttpAddress.parse(spec.path("peers").asText()),
					Phase.valueOf(spec.path("phase").asText()), spec.path("firstSegment").asLong(),
					spec.path("renewals").asLong(), spec.path("nonce").asText()));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * What an instance is doing.
	 */
	public enum Phase {

		/** It takes calls and owns shards. */
		ACTIVE,

		/** It is stopping as planned. */
		LEAVING,

		/** It stopped; the lease will not be renewed any more. */
		ENDED

	}

}
