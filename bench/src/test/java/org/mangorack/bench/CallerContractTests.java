package org.mangorack.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.bench.load.CallerClient.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the behaviour that callers and operators can rely on in the absence of
 * faults.
 */
class CallerContractTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final String BODY = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	@TempDir
	static Path folder;

	private static TestFleet fleet;

	@BeforeAll
	static void start() throws Exception {
		fleet = TestFleet.start(folder, 3);
	}

	@AfterAll
	static void stop() throws Exception {
		fleet.close();
	}

	// ---- Refusals

	@ParameterizedTest(name = "{0}")
	@MethodSource("refusals")
	void refusalIsTruthfulProblem(String code, int status, String method, String path, Map<String, String> headers,
			String body) throws Exception {
		int ran = fleet.service.runs().size() + fleet.engine1.callsByProgram().size()
				+ fleet.engine2.callsByProgram().size();
		Map<String, String> all = new LinkedHashMap<>(headers);
		String key = all.containsKey("Authorization") ? null : fleet.key();
		Answer answer = fleet.callWithKey(fleet.member(0), key, method, path, all, body);
		assertThat(answer.status()).as(answer.body()).isEqualTo(status);
		assertThat(answer.headers().get("content-type").get(0)).startsWith("application/problem+json");
		assertThat(answer.json().path("title").asText()).isEqualTo(code);
		assertThat(answer.json().path("verdict").asText()).isEqualTo("not_run");
		assertThat(fleet.service.runs().size() + fleet.engine1.callsByProgram().size()
				+ fleet.engine2.callsByProgram().size())
			.isEqualTo(ran);
	}

	static Stream<Arguments> refusals() {
		return Stream.of(refusal("key_missing", 401, "POST", CHAT, Map.of("Authorization", "Basic x"), BODY),
				refusal("key_invalid", 401, "POST", CHAT, Map.of("Authorization", "Bearer mr_0_wrong"), BODY),
				refusal("key_invalid", 401, "POST", CHAT, Map.of("Authorization", "Bearer nonsense"), BODY),
				refusal("malformed_body", 400, "POST", CHAT, Map.of(), "{"),
				refusal("malformed_body", 400, "POST", CHAT, Map.of(), "[]"),
				refusal("malformed_body", 400, "POST", CHAT, Map.of(), "{\"model\":1}"),
				refusal("malformed_body", 400, "POST", CHAT, Map.of(), "{\"model\":\"m\",\"model\":\"m\"}"),
				refusal("malformed_body", 400, "POST", CHAT, Map.of(), "{\"model\":\"m\",\"messages\":[]}"),
				refusal("body_too_large", 413, "POST", CHAT, Map.of(), "x".repeat(9 * 1024 * 1024)),
				refusal("unknown_model", 404, "POST", CHAT, Map.of(), BODY.replace("\"m\"", "\"other\"")),
				refusal("method_not_allowed", 405, "GET", CHAT, Map.of(), null),
				refusal("unknown_path", 404, "GET", "/v2/other", Map.of(), null),
				refusal("unknown_route", 404, "GET", "/v1/services/desk/none", Map.of(), null),
				refusal("unknown_route", 404, "GET", "/v1/services/none/read", Map.of(), null),
				refusal("unknown_program", 404, "GET", "/v1/programs/none", Map.of(), null),
				refusal("bad_header", 400, "POST", CHAT, Map.of("Mangorack-Program", "p"), BODY),
				refusal("bad_header", 400, "POST", CHAT, Map.of("Mangorack-Program", "a/b", "Mangorack-Turn", "1"),
						BODY),
				refusal("bad_header", 400, "POST", CHAT, Map.of("Mangorack-Program", "p", "Mangorack-Turn", "0"), BODY),
				refusal("turn_gap", 409, "POST", CHAT, Map.of("Mangorack-Program", "gap", "Mangorack-Turn", "2"), BODY),
				refusal("parent_ended", 409, "POST", CHAT,
						Map.of("Mangorack-Program", "orphan", "Mangorack-Turn", "1", "Mangorack-Parent", "nobody"),
						BODY),
				refusal("bad_header", 400, "POST", "/v1/services/desk/orders",
						Map.of("Idempotency-Key", "x".repeat(300)), "{}"));
	}

	private static Arguments refusal(String code, int status, String method, String path, Map<String, String> headers,
			String body) {
		return Arguments.of(code, status, method, path, headers, body);
	}

	// ---- Programs

	@Test
	void wholeHistoryMustExtendRecordedOne() throws Exception {
		String program = "w-" + UUID.randomUUID();
		Answer first = turnWithHistory(program, 1, "[{\"role\":\"user\",\"content\":\"a\"}]");
		JsonNode reply = first.json().path("choices").path(0).path("message");
		String extended = "[{\"role\":\"user\",\"content\":\"a\"}," + reply + ",{\"content\":\"b\",\"role\":\"user\"}]";
		String altered = extended.replace("\"a\"", "\"x\"");
		Answer refused = turnWithHistory(program, 2, altered);
		assertThat(refused.status()).isEqualTo(409);
		assertThat(refused.json().path("title").asText()).isEqualTo("history_mismatch");
		assertThat(refused.json().path("verdict").asText()).isEqualTo("not_run");
		assertThat(turnWithHistory(program, 2, extended).status()).isEqualTo(200);
		assertThat(fleet.get(fleet.member(1), "/v1/programs/" + program).json().path("turns").asInt()).isEqualTo(2);
	}

	@Test
	void repeatGetsRecordedAnswerAndOtherRequestIsRefused() throws Exception {
		String program = "r-" + UUID.randomUUID();
		Answer first = fleet.turn(fleet.member(0), program, 1, "same");
		Answer repeat = fleet.streamedTurn(fleet.member(1), program, 1, "same");
		Answer other = fleet.turn(fleet.member(2), program, 1, "different");
		assertThat(repeat.text()).isEqualTo(first.text());
		assertThat(repeat.isCompleteStream()).isTrue();
		assertThat(other.status()).isEqualTo(409);
		assertThat(calls("north/" + program)).isEqualTo(1);
	}

	@Test
	void concurrentRepeatsOfTurnRunOnce() throws Exception {
		String program = "c-" + UUID.randomUUID();
		List<CompletableFuture<Answer>> answers = new ArrayList<>();
		for (int i = 0; i < 9; i++) {
			Member member = fleet.member(i % 3);
			answers.add(CompletableFuture.supplyAsync(() -> turnUnchecked(member, program, 1, "once")));
		}
		for (CompletableFuture<Answer> answer : answers) {
			ProgramSurvivalTests.assertOwnAnswer(answer.get(), "once");
		}
		assertThat(calls("north/" + program)).isEqualTo(1);
	}

	@Test
	void turnsSentOutOfOrderRunInOrder() throws Exception {
		String program = "o-" + UUID.randomUUID();
		CompletableFuture<Answer> second = CompletableFuture
			.supplyAsync(() -> turnUnchecked(fleet.member(1), program, 2, "two"));
		TimeUnit.MILLISECONDS.sleep(400);
		ProgramSurvivalTests.assertOwnAnswer(fleet.turn(fleet.member(0), program, 1, "one"), "one");
		ProgramSurvivalTests.assertOwnAnswer(second.get(), "two");
		JsonNode messages = fleet.get(fleet.member(2), "/v1/programs/" + program + "/history").json().path("messages");
		assertThat(messages.path(0).path("content").asText()).isEqualTo("one");
		assertThat(messages.path(2).path("content").asText()).isEqualTo("two");
		Answer gap = fleet.turn(fleet.member(0), program, 4, "four");
		assertThat(gap.status()).isEqualTo(409);
		assertThat(gap.json().path("title").asText()).isEqualTo("turn_gap");
		assertThat(fleet.violations()).isZero();
	}

	@Test
	void subAgentsShareBudgetOfRoot() throws Exception {
		String root = "b-" + UUID.randomUUID();
		assertThat(budgetTurn(root, 1, null, "250").status()).isEqualTo(200);
		int answered = 0;
		Answer last = null;
		for (int i = 0; i < 20; i++) {
			last = budgetTurn(root + "-child-" + i, 1, root, null);
			answered += (last.status() == 200) ? 1 : 0;
		}
		assertThat(answered).isBetween(1, 19);
		assertThat(last.status()).isEqualTo(403);
		assertThat(last.json().path("title").asText()).isEqualTo("budget_exhausted");
		JsonNode budget = fleet.get(fleet.member(0), "/v1/programs/" + root).json().path("budget");
		assertThat(budget.path("charged").asLong()).isBetween(1L, 250L);
		JsonNode child = fleet.get(fleet.member(1), "/v1/programs/" + root + "-child-0").json();
		assertThat(child.path("root").asText()).isEqualTo(root);
	}

	@Test
	void programOfOtherWorkspaceIsInvisible() throws Exception {
		String program = "v-" + UUID.randomUUID();
		assertThat(fleet.turn(fleet.member(0), program, 1, "secret").status()).isEqualTo(200);
		String south = fleet.operate(0, "key", "create", "south").strip();
		fleet.await("the key to be known",
				() -> fleet.callWithKey(fleet.member(1), south, "GET", "/v1/services/desk/read/x", Map.of(), null)
					.status() == 200);
		Answer answer = fleet.callWithKey(fleet.member(1), south, "GET", "/v1/programs/" + program + "/history",
				Map.of(), null);
		assertThat(answer.status()).isEqualTo(404);
		assertThat(answer.body()).doesNotContain("secret");
	}

	// ---- Services and keys

	@Test
	void idempotencyKeyWithOtherBodyIsRefused() throws Exception {
		String key = "i-" + UUID.randomUUID();
		assertThat(fleet.order(fleet.member(0), key).status()).isEqualTo(200);
		Answer other = fleet.call(fleet.member(1), "POST", "/v1/services/desk/orders", Map.of("Idempotency-Key", key),
				"{\"part\":2}");
		assertThat(other.status()).isEqualTo(409);
		assertThat(other.json().path("title").asText()).isEqualTo("idempotency_key_reused");
		assertThat(fleet.order(fleet.member(2), key).json().path("run").asInt()).isEqualTo(1);
		assertThat(fleet.service.runs().get(key)).isEqualTo(1);
	}

	@Test
	void openRouteNeedsNoKeyAndKeyIsNeverPassedOn() throws Exception {
		assertThat(fleet.callWithKey(fleet.member(0), null, "GET", "/v1/services/desk/open/x", Map.of(), null).status())
			.isEqualTo(200);
		Map<String, String> leaky = Map.of("X-Api-Key", fleet.key(), "Cookie", "k=" + fleet.key());
		assertThat(fleet.call(fleet.member(1), "GET", "/v1/services/desk/open/x", leaky, null).status()).isEqualTo(200);
		assertThat(fleet.call(fleet.member(1), "GET", "/v1/services/desk/read/x", leaky, null).status()).isEqualTo(200);
		assertThat(fleet.call(fleet.member(2), "POST", CHAT, leaky, BODY).status()).isEqualTo(200);
		assertThat(fleet.service.leakedKeys()).isEmpty();
		assertThat(fleet.engine1.leakedKeys()).isEmpty();
		assertThat(fleet.engine2.leakedKeys()).isEmpty();
	}

	@Test
	void instancesListNamesOwnerFirst() throws Exception {
		String program = "n-" + UUID.randomUUID();
		JsonNode list = fleet.get(fleet.member(0), "/v1/instances?program=" + program).json();
		String owner = ShardProbe.ownerOf(fleet, "program|north/" + program);
		assertThat(list.path("instances")).hasSize(3);
		assertThat(list.path("instances").path(0).path("instance").asText()).isEqualTo(owner);
		assertThat(list.path("keepSeconds").asInt()).isPositive();
	}

	@Test
	void secondOfTwoRacingOperatorsGetsConflict() throws Exception {
		long base = TestFleet.MAPPER.readTree(fleet.operate(0, "config", "show", "--format", "json"))
			.path("revision")
			.asLong();
		AtomicInteger succeeded = new AtomicInteger();
		Queue<String> errors = new ConcurrentLinkedQueue<>();
		List<Thread> operators = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			int index = i;
			operators.add(new Thread(() -> {
				ByteArrayOutputStream err = new ByteArrayOutputStream();
				int status = fleet.operate(index, new PrintStream(new ByteArrayOutputStream()), new PrintStream(err),
						"config", "apply", fleet.configurationFolder().toString(), "--base", Long.toString(base));
				succeeded.addAndGet((status == 0) ? 1 : 0);
				if (status != 0) {
					errors.add(err.toString(StandardCharsets.UTF_8));
				}
			}));
		}
		operators.forEach(Thread::start);
		for (Thread t : operators) {
			t.join();
		}
		assertThat(succeeded.get()).isEqualTo(1);
		assertThat(errors).hasSize(2).allMatch((e) -> e.contains("configuration_conflict"));
	}

	@Test
	void operatorsPortNeedsOperatorKey() throws Exception {
		Member member = fleet.member(0);
		Answer answer = fleet.toOperators(member, "/admin/status", "wrong-operator-key");
		assertThat(answer.status()).isEqualTo(401);
		assertThat(fleet.toOperators(member, "/metrics", "").body()).contains("mangorack_calls_seconds_bucket",
				"workspace=\"north\"");
		assertThat(fleet.toOperators(member, "/healthz", "").status()).isEqualTo(200);
		assertThat(fleet.toOperators(member, "/readyz", "").status()).isEqualTo(200);
	}

	// ---- Helpers

	private static Answer turnWithHistory(String program, int turn, String messages) throws Exception {
		return fleet.call(fleet.member(turn % 3), "POST", CHAT,
				Map.of("Mangorack-Program", program, "Mangorack-Turn", Integer.toString(turn)),
				"{\"model\":\"m\",\"messages\":" + messages + "}");
	}

	private static Answer budgetTurn(String program, int turn, String parent, String budget) throws Exception {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Mangorack-Program", program);
		headers.put("Mangorack-Turn", Integer.toString(turn));
		if (parent != null) {
			headers.put("Mangorack-Parent", parent);
		}
		if (budget != null) {
			headers.put("Mangorack-Budget", budget);
		}
		return fleet.call(fleet.member(0), "POST", CHAT, headers,
				"{\"model\":\"m\",\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}");
	}

	private static Answer turnUnchecked(Member member, String program, int number, String text) {
		try {
			return fleet.turn(member, program, number, text);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static int calls(String program) {
		return fleet.engine1.callsByProgram().getOrDefault(program, 0)
				+ fleet.engine2.callsByProgram().getOrDefault(program, 0);
	}

}
