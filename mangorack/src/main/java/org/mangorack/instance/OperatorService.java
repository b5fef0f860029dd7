package org.mangorack.instance;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Identifiers;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Configuration;
import org.mangorack.config.Problem;
import org.mangorack.http.HttpService;
import org.mangorack.member.LeaseRecord;
import org.mangorack.observe.Invariants;

/**
 * The HTTP API for operators. All operations require the operator key, except for health
 * checks and metrics.
 */
final class OperatorService implements HttpService {

	private static final String PREFIX = "/admin/";

	private final Instance instance;

	OperatorService(Instance instance) {
		this.instance = instance;
	}

	@Override
	public CallAnswer answer(CallRequest call) {
		return switch (call.path()) {
			case "/healthz" -> CallAnswer.text(200, "ok\n");
			case "/readyz" -> ready();
			case "/metrics" -> CallAnswer.of(200, "text/plain; version=0.0.4; charset=utf-8",
					this.instance.metrics().scrape().getBytes(StandardCharsets.UTF_8));
			default -> admin(call);
		};
	}

	// ---- Helpers

	private CallAnswer ready() {
		if (!this.instance.isReady()) {
			return CallAnswer.text(503, "starting or leaving\n");
		}
		return this.instance.entry()
			.suspension()
			.map((reason) -> CallAnswer.text(503, reason + "\n"))
			.orElseGet(() -> CallAnswer.text(200, "ready\n"));
	}

	private CallAnswer admin(CallRequest call) {
		if (!isOperator(call)) {
			return refuse(call, Refusal.notRun(401, "operator_key_invalid", "the operators' key is missing or wrong"));
		}
		String operation = call.method() + " "
				+ (call.path().startsWith(PREFIX) ? call.path().substring(PREFIX.length()) : call.path());
		if (operation.startsWith("DELETE keys/")) {
			return withdraw(call, operation.substring("DELETE keys/".length()));
		}
		return switch (operation) {
			case "GET status" -> CallAnswer.json(200, status());
			case "GET programs" -> CallAnswer.json(200, programs());
			case "GET configuration" -> CallAnswer.json(200, configuration());
			case "POST configuration" -> apply(call);
			case "POST keys" -> create(call);
			case "POST drain" -> drain();
			default -> refuse(call, Refusal.notRun(404, "unknown_operation", operation + " does not exist"));
		};
	}

	private boolean isOperator(CallRequest call) {
		byte[] expected = ("Bearer " + this.instance.settings().operatorKey()).getBytes(StandardCharsets.UTF_8);
		byte[] actual = call.header("Authorization").orElse("").getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(expected, actual);
	}

	private ObjectNode status() {
		ObjectNode json = Jsons.object();
		json.put("instance", this.instance.settings().instance());
		json.put("dataCentre", this.instance.settings().dataCentre());
		json.put("ready", this.instance.isReady());
		json.put("configuration", this.instance.configuration().current().revision());
		json.put("platformReachable", this.instance.fleet().isPlatformReachable());
		json.put("leaseHeld", this.instance.host().isLeaseHeld());
		json.put("shards", this.instance.host().owned().size());
		json.put("programs", this.instance.entry().programs().size());
		json.put("invariantViolations", Invariants.violations());
		this.instance.entry().suspension().ifPresent((reason) -> json.put("suspended", reason));
		Map<String, Integer> shards = new TreeMap<>();
		this.instance.host().owners().values().forEach((owner) -> shards.merge(owner.instance(), 1, Integer::sum));
		ArrayNode list = json.putArray("instances");
		for (LeaseRecord record : this.instance.fleet().live()) {
			boolean self = this.instance.fleet().isSelf(record);
			long revision = self ? this.instance.configuration().current().revision()
					: this.instance.fleet().reportedConfiguration(record.instance());
			list.addObject()
				.put("instance", record.instance())
				.put("dataCentre", record.dataCentre())
				.put("callers", record.callers().toString())
				.put("operators", record.operators().toString())
				.put("phase", record.phase().name().toLowerCase(Locale.ROOT))
				.put("inTouch", self || (revision >= 0))
				.put("configuration", revision)
				.put("shards", shards.getOrDefault(record.instance(), 0));
		}
		return json;
	}

	private ObjectNode programs() {
		ObjectNode json = Jsons.object();
		ArrayNode list = json.putArray("programs");
		this.instance.entry().programs().forEach((view) -> list.add(view.toJson()));
		return json;
	}

	private ObjectNode configuration() {
		ObjectNode json = Jsons.object();
		json.put("revision", this.instance.configuration().current().revision());
		json.set("configuration", this.instance.configuration().document());
		return json;
	}

	private CallAnswer apply(CallRequest call) {
		JsonNode json;
		try {
			json = Jsons.parse(call.body());
		}
		catch (IOException ex) {
			return refuse(call, Refusal.notRun(400, "malformed_body", "the body is not valid JSON"));
		}
		JsonNode document = json.path("configuration");
		Either<List<Problem>, Configuration> checked = Configuration.read(1, document, Map.of());
		if (checked.isLeft()) {
			return refuse(call, Refusal.notRun(422, "configuration_refused", checked.getLeft().toString()));
		}
		return this.instance.configuration()
			.apply(json.path("base").asLong(), document)
			.fold((refusal) -> refuse(call, refusal),
					(revision) -> CallAnswer.json(200, Jsons.object().put("revision", revision)));
	}

	private CallAnswer create(CallRequest call) {
		String workspace;
		try {
			workspace = Jsons.parse(call.body()).path("workspace").asText();
		}
		catch (IOException ex) {
			return refuse(call, Refusal.notRun(400, "malformed_body", "the body is not valid JSON"));
		}
		if (!Identifiers.isValid(workspace)) {
			return refuse(call,
					Refusal.notRun(404, "unknown_workspace", "\"" + workspace + "\" is no name of a workspace"));
		}
		return this.instance.entry()
			.workspace(new WorkspaceId(workspace))
			.flatMap((known) -> this.instance.keys().create(known.id()))
			.fold((refusal) -> refuse(call, refusal),
					(key) -> CallAnswer.json(200, Jsons.object().put("workspace", workspace).put("key", key)));
	}

	private CallAnswer withdraw(CallRequest call, String id) {
		return this.instance.keys()
			.withdraw(id)
			.fold((refusal) -> refuse(call, refusal),
					(withdrawn) -> CallAnswer.json(200, Jsons.object().put("withdrawn", withdrawn)));
	}

	private CallAnswer drain() {
		this.instance.drainInBackground();
		return CallAnswer.json(202, Jsons.object().put("draining", this.instance.settings().instance()));
	}

	private static CallAnswer refuse(CallRequest call, Refusal refusal) {
		return CallAnswer.refusal(refusal, call.requestId());
	}

}
