package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.proto.Member;

/**
 * Converts the keeper group to and from the JSON of its object on the platform.
 */
public final class GroupDocument {

	/**
	 * The name of the object that holds the group.
	 */
	public static final String NAME = "main";

	private GroupDocument() {
	}

	/**
	 * Reads the view of the group from the spec of its object.
	 * @param spec the spec of the object
	 * @param tolerance how many disks may be lost at once
	 * @return the view
	 */
	public static GroupView read(JsonNode spec, int tolerance) {
		return new GroupView(spec.path("epoch").asLong(), members(spec.path("members")), members(spec.path("next")),
				tolerance);
	}

	static ObjectNode write(GroupView view) {
		ObjectNode spec = Jsons.object();
		spec.put("epoch", view.epoch());
		write(spec.putArray("members"), view.members());
		write(spec.putArray("next"), view.next());
		return spec;
	}

	static ObjectNode write(Member member) {
		ObjectNode json = Jsons.object();
		json.put("instance", member.getName());
		json.put("disk", member.getDisk());
		json.put("host", member.getHost());
		json.put("port", member.getPort());
		json.put("dataCentre", member.getZone());
		return json;
	}

	static Member member(JsonNode json) {
		return Member.newBuilder()
			.setName(json.path("instance").asText())
			.setDisk(json.path("disk").asText())
			.setHost(json.path("host").asText())
			.setPort(json.path("port").asInt())
			.setZone(json.path("dataCentre").asText())
			.build();
	}

	private static List<Member> members(JsonNode list) {
		List<Member> members = new ArrayList<>();
		list.forEach((item) -> members.add(member(item)));
		return members;
	}

	private static void write(ArrayNode list, List<Member> members) {
		members.forEach((m) -> list.add(write(m)));
	}

}
