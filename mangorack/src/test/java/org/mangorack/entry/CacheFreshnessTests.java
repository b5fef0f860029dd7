package org.mangorack.entry;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Settings;
import org.mangorack.key.KeyRegistry;
import org.mangorack.member.PeerLinks;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.Header;
import org.mangorack.member.proto.Heartbeat;
import org.mangorack.observe.ManualClock;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.WatchListener;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CacheFreshness}: a key, workspace, model or route that the caches of
 * an instance lack is reported as missing only while both caches are fresh. An instance
 * with a stale cache must not reject what was created since. The tests advance a manual
 * clock.
 */
class CacheFreshnessTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final Duration RECENT = Duration.ofMillis(2500);

	private static final Duration TOO_OLD = RECENT.plusMillis(1);

	private static final String CONFIGURATION = """
			{
			  "workspaces": {"north": {}, "south": {"pools": ["m"]}},
			  "upstreams": {
			    "engine": {"kind": "model", "models": ["m", "n"], "address": "127.0.0.1:1", "dataCentre": "dc1"},
			    "desk": {"kind": "service", "address": "127.0.0.1:1", "dataCentre": "dc1"}
			  },
			  "routes": {"read": {"pool": "desk", "path": "/read", "idempotent": true}}
			}""";

	private final ManualClock clock = new ManualClock();

	private final TestCache keys = new TestCache(ObjectKind.KEY, this.clock, () -> {
	});

	private final TestCache configuration = new TestCache(ObjectKind.CONFIGURATION, this.clock, this::refresh);

	private final KeyRegistry registry = new KeyRegistry(this.keys.store, this.keys.cache);

	private final ConfigurationStore store = new ConfigurationStore(this.configuration.store);

	private final CacheFreshness freshness = new CacheFreshness(this.keys.cache, this.configuration.cache);

	private final KeyVerifier keyVerifier = new KeyVerifier(this.registry, this.store, this.freshness);

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final PeerLinks links = new PeerLinks(
			new Settings("a", "dc1", null, null, null, null, null, "", "secret-of-the-links", null, null),
			this.executor, MonotonicClock.SYSTEM, Heartbeat::getDefaultInstance);

	// Components that a refused call does not reach are null.
	private final ShardRouter router = new ShardRouter(null, this.links);

	private final ServingGuard serving = new ServingGuard(null, this.keys.cache, this.freshness, this.registry,
			() -> 1);

	private final OwnerGuard guard = new OwnerGuard(this.serving, () -> true);

	private final ChatEndpoint chat = new ChatEndpoint(this.store, this.serving, null, null);

	private final ServiceEndpoint services = new ServiceEndpoint(this.store, this.freshness, this.router, null,
			this.serving, this.guard);

	private final ProgramEndpoint programs = new ProgramEndpoint(this.store, this.freshness, this.router, null, null,
			this.guard, () -> false);

	private String north;

	private String south;

	private String elsewhere;

	@BeforeEach
	void start() throws Exception {
		this.north = this.registry.create(new WorkspaceId("north")).get();
		this.south = this.registry.create(new WorkspaceId("south")).get();
		this.elsewhere = this.registry.create(new WorkspaceId("elsewhere")).get();
		assertThat(this.store.apply(0, Jsons.parse(CONFIGURATION.getBytes(StandardCharsets.UTF_8))).isRight()).isTrue();
		this.keys.start();
		this.configuration.start();
	}

	@AfterEach
	void close() {
		this.keys.cache.close();
		this.configuration.cache.close();
		this.links.close();
		this.executor.shutdownNow();
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("missing")
	void entryMissingFromFreshCachesIsReportedAsMissing(Missing missing) throws Exception {
		this.clock.advance(RECENT);
		assertMissing(missing);
	}

	@ParameterizedTest(name = "{0}, keys confirmed: {1}, configuration confirmed: {2}")
	@MethodSource("missingWithStaleCache")
	void entryMissingFromStaleCacheIsNotReportedAsMissing(Missing missing, boolean keysConfirmed,
			boolean configurationConfirmed) throws Exception {
		this.clock.advance(TOO_OLD);
		if (keysConfirmed) {
			this.keys.confirm();
		}
		if (configurationConfirmed) {
			this.configuration.confirm();
		}
		CallAnswer answer = missing.call.apply(this);
		JsonNode problem = Jsons.parse(ResponseBodies.text(answer).getBytes(StandardCharsets.UTF_8));
		assertThat(answer.status()).as(problem.toString()).isEqualTo(503);
		assertThat(answer.headers()).containsEntry("Content-Type", CallAnswer.PROBLEM_TYPE)
			.containsEntry("Retry-After", "2");
		assertThat(problem.path("title").asText()).isEqualTo("copies_unconfirmed");
		assertThat(problem.path("verdict").asText()).isEqualTo("not_run");
		assertThat(problem.path("detail").asText()).contains("2501 ms").endsWith(missing.detail);
		this.keys.confirm();
		this.configuration.confirm();
		assertMissing(missing);
	}

	@Test
	void staleCachesStillReportMissingKeyWhereKeyIsAlwaysRequired() throws Exception {
		this.clock.advance(TOO_OLD);
		assertMissing(new Missing(401, "key_missing", "the call has no header \"Authorization: Bearer KEY\"",
				(test) -> answer(test.keyVerifier.verify(call("GET", "/v1/programs/p", null, "")))));
	}

	@Test
	void confirmationAfterLookupDoesNotMakeItsResultFresh() {
		this.clock.advance(TOO_OLD);
		CacheFreshness.Age before = this.freshness.age();
		this.keys.confirm();
		this.configuration.confirm();
		assertThat(before.unavailableIfStale(Refusal.notRun(404, "unknown_route", "no route")).status()).isEqualTo(503);
		assertThat(this.freshness.age().isFresh()).isTrue();
	}

	// ---- Missing entries

	static Stream<Missing> missing() {
		return Stream.of(
				new Missing(401, "key_invalid", "the key is wrong or was withdrawn",
						(test) -> answer(test.keyVerifier.verify(call("GET", "/", "mr_0_wrong", "")))),
				new Missing(403, "unknown_workspace", "workspace \"elsewhere\" is not configured",
						(test) -> answer(test.keyVerifier.verify(call("GET", "/", test.elsewhere, "")))),
				new Missing(404, "unknown_model", "model \"other\" does not exist for workspace \"north\"",
						(test) -> test.chat(test.north, "other")),
				new Missing(404, "unknown_model", "model \"n\" does not exist for workspace \"south\"",
						(test) -> test.chat(test.south, "n")),
				new Missing(404, "unknown_route", "no route covers GET /none of \"desk\"",
						(test) -> test.service(test.north, "/v1/services/desk/none")),
				new Missing(403, "pool_not_allowed", "workspace \"south\" may not use \"desk\"",
						(test) -> test.service(test.south, "/v1/services/desk/read/x")),
				new Missing(401, "key_missing", "the call has no header \"Authorization: Bearer KEY\"",
						(test) -> test.service(null, "/v1/services/desk/none")),
				new Missing(404, "unknown_route", "no route covers POST /orders of \"desk\"",
						(test) -> test.services.answerAtOwner(null, open("north", "/v1/services/desk/orders"), () -> {
						})),
				new Missing(403, "unknown_workspace", "workspace \"elsewhere\" is not configured",
						(test) -> test.programs.answerTurn(null, open("elsewhere", "/v1/chat/completions"), () -> {
						})),
				new Missing(401, "key_withdrawn", "key \"0\" was withdrawn",
						(test) -> CallAnswer.refusal(
								test.guard.forCall(open("north", "/v1/chat/completions")).check().orElseThrow(),
								"request")));
	}

	static Stream<Arguments> missingWithStaleCache() {
		return missing().flatMap((missing) -> Stream.of(Arguments.of(missing, false, false),
				Arguments.of(missing, true, false), Arguments.of(missing, false, true)));
	}

	private CallAnswer chat(String key, String model) {
		String body = "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
		return answer(
				this.keyVerifier.verify(call("POST", "/v1/chat/completions", key, body)).flatMap(this.chat::answer));
	}

	private CallAnswer service(String key, String path) {
		CallRequest call = call("GET", path, key, "");
		CacheFreshness.Age age = this.freshness.age();
		return answer(this.keyVerifier.verify(call, age::unavailableIfStale)
			.flatMap((caller) -> this.services.route(call, age)
				.flatMap((route) -> this.services.answer(caller, route))));
	}

	private static CallRequest call(String method, String path, String key, String body) {
		Map<String, String> headers = (key != null) ? Map.of("Authorization", "Bearer " + key) : Map.of();
		return new CallRequest("request", method, path, null, headers, body.getBytes(StandardCharsets.UTF_8));
	}

	private static CallOpen open(String workspace, String path) {
		String body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
		return CallOpen.newBuilder()
			.setRequestId("request")
			.setMethod("POST")
			.setPath(path)
			.setWorkspace(workspace)
			.setKeyId("0")
			.addHeaders(Header.newBuilder().setName("Mangorack-Program").setValue("p"))
			.addHeaders(Header.newBuilder().setName("Mangorack-Turn").setValue("1"))
			.setBody(ByteString.copyFromUtf8(body))
			.build();
	}

	// ---- Helpers

	private void assertMissing(Missing missing) throws Exception {
		CallAnswer answer = missing.call.apply(this);
		assertThat(ResponseBodies.text(answer)).isEqualTo("{\"type\":\"about:blank\",\"title\":\"" + missing.code
				+ "\",\"status\":" + missing.status + ",\"detail\":\"" + missing.detail.replace("\"", "\\\"")
				+ "\",\"verdict\":\"not_run\",\"request\":\"request\"}");
		assertThat(answer.status()).isEqualTo(missing.status);
		assertThat(answer.headers()).isEqualTo(Map.of("Content-Type", CallAnswer.PROBLEM_TYPE));
	}

	private static CallAnswer answer(Either<Refusal, ?> result) {
		return CallAnswer.refusal(result.getLeft(), "request");
	}

	private void refresh() {
		this.store.refresh(this.configuration.cache);
	}

	/**
	 * An entry that the caches lack or do not allow, and the refusal that reports it.
	 */
	private record Missing(int status, String code, String detail, Function<CacheFreshnessTests, CallAnswer> call) {

		@Override
		public String toString() {
			return this.status + " " + this.code + ": " + this.detail;
		}

	}

	/**
	 * A cache that a test confirms explicitly.
	 */
	private static final class TestCache {

		private final FakeStore store = new FakeStore();

		private final CompletableFuture<WatchListener> watch = new CompletableFuture<>();

		private final KindCache cache;

		private TestCache(ObjectKind kind, MonotonicClock clock, Runnable onChange) {
			ObjectStore watched = (ObjectStore) Proxy.newProxyInstance(ObjectStore.class.getClassLoader(),
					new Class<?>[] { ObjectStore.class }, (proxy, method, arguments) -> {
						if (method.getName().equals("list")) {
							return this.store.list(kind);
						}
						this.watch.complete((WatchListener) arguments[2]);
						throw awaitClose();
					});
			this.cache = new KindCache(watched, kind, clock, onChange);
		}

		private void start() throws Exception {
			this.cache.start();
			this.watch.get(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		}

		private void confirm() {
			this.watch.join().progress("9");
		}

		private static StoreException awaitClose() {
			try {
				new CountDownLatch(1).await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			return new StoreException(StoreException.Reason.UNREACHABLE, "the watch was closed");
		}

	}

}
