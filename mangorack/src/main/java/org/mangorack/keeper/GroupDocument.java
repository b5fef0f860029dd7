package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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

	private static final int MAX_PORT = 65535;

	private static final String MEMBERS = "members";

	private static final String NEXT = "next";

	private GroupDocument() {
	}

	/**
	 * Reads the view of the group from the spec of its object.
	 * @param spec the spec of the object
	 * @param tolerance how many disks may be lost at once
	 * @return the view
	 * @throws IllegalArgumentException if the epoch or a member is missing or invalid; a
	 * view without some of its members would have smaller quorums
	 */
	public static GroupView read(JsonNode spec, int tolerance) {
		JsonNode epoch = spec.path("epoch");
		if (!epoch.isIntegralNumber() || !epoch.canConvertToLong()) {
			throw new IllegalArgumentException("group of keepers without a valid epoch: " + epoch);
		}
		return new GroupView(epoch.longValue(), members(spec.path(MEMBERS)), members(spec.path(NEXT)), tolerance);
	}

	/**
	 * Reads the disks that a change of the group adds.
	 * @param spec the spec of the object
	 * @param view the view that {@link #read(JsonNode, int)} returned
	 * @return the joining disks
	 */
	static Joiners readJoiners(JsonNode spec, GroupView view) {
		return Joiners.read(spec.path(NEXT), view);
	}

	static ObjectNode write(GroupView view) {
		return write(view, Joiners.none());
	}

	static ObjectNode write(GroupView view, Joiners joiners) {
		ObjectNode spec = Jsons.object();
		spec.put("epoch", view.epoch());
		ArrayNode members = spec.putArray(MEMBERS);
		view.members().forEach((m) -> members.add(write(m)));
		ArrayNode next = spec.putArray(NEXT);
		for (Member member : view.next()) {
			ObjectNode json = write(member);
			joiners.write(member, json);
			next.add(json);
		}
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

	/**
	 * Reads a keeper.
	 * @param json the keeper
	 * @return the member
	 * @throws IllegalArgumentException if the instance, disk, host or port is missing or
	 * invalid
	 */
	static Member member(JsonNode json) {
		return Member.newBuilder()
			.setName(text(json, "instance"))
			.setDisk(text(json, "disk"))
			.setHost(text(json, "host"))
			.setPort(port(json.path("port")))
			.setZone(json.path("dataCentre").asText())
			.build();
	}

	/**
	 * Reads a keeper that may have been written by another program.
	 * @param json the keeper
	 * @return the member, or empty if it cannot be read
	 */
	static Optional<Member> findMember(JsonNode json) {
		try {
			return Optional.of(member(json));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static String text(JsonNode json, String field) {
		JsonNode value = json.path(field);
		if (!value.isTextual() || value.asText().isEmpty()) {
			throw new IllegalArgumentException("keeper without a valid " + field + ": " + value);
		}
		return value.asText();
	}

	private static int port(JsonNode json) {
		if (!json.isIntegralNumber() || !json.canConvertToInt() || (json.asInt() <= 0) || (json.asInt() > MAX_PORT)) {
			throw new IllegalArgumentException("keeper without a valid port: " + json);
		}
		return json.asInt();
	}

	private static List<Member> members(JsonNode list) {
		List<Member> members = new ArrayList<>();
		list.forEach((item) -> members.add(member(item)));
		return members;
	}

}
