package org.mangorack.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Identifiers;
import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.journal.JournalId;
import org.mangorack.member.Fleet;
import org.mangorack.member.LeaseRecord;
import org.mangorack.ownership.ShardHost;
import org.mangorack.ownership.ShardId;

/**
 * Returns the addresses at which callers can reach the instances.
 */
final class InstancesEndpoint {

	/**
	 * How long callers may cache the list.
	 */
	static final Duration MAX_AGE = Duration.ofSeconds(2);

	private final Fleet fleet;

	private final ShardHost<ShardContents> host;

	private final String dataCentre;

	InstancesEndpoint(Fleet fleet, ShardHost<ShardContents> host, String dataCentre) {
		this.fleet = fleet;
		this.host = host;
		this.dataCentre = dataCentre;
	}

	// Returns the addresses in order of preference.
	CallAnswer answer(CallRequest call, Optional<Caller> caller) {
		List<LeaseRecord> instances = new ArrayList<>(
				this.fleet.forCallers(call.queryParameter("dataCentre").orElse(this.dataCentre)));
		Optional<String> program = call.queryParameter("program").filter(Identifiers::isValid);
		if (program.isPresent() && caller.isPresent()) {
			ProgramKey key = new ProgramKey(caller.get().workspace().id(), program.get());
			moveOwnerFirst(instances, ProgramRouter.shard(key));
		}
		ObjectNode json = Jsons.object();
		ArrayNode list = json.putArray("instances");
		for (LeaseRecord r : instances) {
			list.addObject()
				.put("instance", r.instance())
				.put("address", r.callers().toString())
				.put("url", "http://" + r.callers())
				.put("dataCentre", r.dataCentre());
		}
		json.put("keepSeconds", MAX_AGE.toSeconds());
		return CallAnswer.json(200, json).withHeader("Cache-Control", "max-age=" + MAX_AGE.toSeconds());
	}

	private void moveOwnerFirst(List<LeaseRecord> instances, ShardId shard) {
		Map<ShardId, JournalId> owners = this.host.owners();
		JournalId owner = owners.get(shard);
		if (owner == null) {
			return;
		}
		Optional<LeaseRecord> first = instances.stream().filter((r) -> r.journal().equals(owner)).findFirst();
		first.ifPresent((r) -> {
			instances.remove(r);
			instances.add(0, r);
		});
	}

}
