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
 * @param phase the life-cycle phase of the instance
 * @param firstSegment the number of the first segment of its journal
 * @param renewals the number of renewals so far
 * @param nonce the unique identifier of the last write
 */
public record LeaseRecord(JournalId journal, String dataCentre, HttpAddress callers, HttpAddress operators,
		HttpAddress peers, Phase phase, long firstSegment, long renewals, String nonce) {

	/**
	 * Returns the record of the next renewal.
	 * @param newPhase the life-cycle phase of the instance
	 * @param newFirstSegment the number of the first segment of its journal
	 * @param newNonce the unique identifier of the write
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
	 * Converts the record to the content of an object.
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
	 * @return the record, or empty if the object is not a valid lease
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
	 * The life-cycle phase of an instance.
	 */
	public enum Phase {

		/** The instance accepts calls and owns shards. */
		ACTIVE,

		/** The instance is in a planned shutdown. */
		LEAVING,

		/** The instance has stopped; its lease is no longer renewed. */
		ENDED

	}

}
