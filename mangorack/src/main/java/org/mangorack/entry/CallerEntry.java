package org.mangorack.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import io.vavr.control.Option;

import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Settings;
import org.mangorack.config.Workspace;
import org.mangorack.dispatch.Dispatcher;
import org.mangorack.dispatch.ModelSlotClient;
import org.mangorack.dispatch.PoolService;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.http.HttpService;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.key.KeyRegistry;
import org.mangorack.limit.RateLimiter;
import org.mangorack.member.Fleet;
import org.mangorack.member.LeaseRecord;
import org.mangorack.member.PeerLinks;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.ShardHost;
import org.mangorack.platform.KindCache;
import org.mangorack.program.ProgramView;
import org.mangorack.program.TurnService;
import org.mangorack.service.ServiceCaller;
import org.mangorack.upstream.UpstreamClient;

/**
 * Creates and connects the components of the HTTP API for callers.
 */
public final class CallerEntry {

	private static final Duration JOURNAL_STALL_THRESHOLD = Duration.ofMillis(1200);

	private static final Duration GRANT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);

	private final PooledHttpClient http = new PooledHttpClient(CONNECT_TIMEOUT);

	private final ConfigurationStore configuration;

	private final CacheFreshness freshness;

	private final CallerService service;

	private final Maintenance maintenance;

	private final ServingGuard serving;

	private final ShardHost<ShardContents> host;

	private final ModelSlotClient models;

	/**
	 * Creates the components and registers the handlers for calls from other instances.
	 * @param settings the settings of the instance
	 * @param clock the time source
	 * @param metrics the metrics of the instance
	 * @param configuration the configuration in force
	 * @param keys the API keys of callers
	 * @param keyCache the cache of all API keys
	 * @param configurationCache the cache of the configuration
	 * @param fleet the known instances
	 * @param links the links to other instances
	 * @param host the shards that this instance hosts
	 * @param executor the executor that runs turns
	 */
	public CallerEntry(Settings settings, MonotonicClock clock, Metrics metrics, ConfigurationStore configuration,
			KeyRegistry keys, KindCache keyCache, KindCache configurationCache, Fleet fleet, PeerLinks links,
			ShardHost<ShardContents> host, ExecutorService executor) {
		this.host = host;
		this.configuration = configuration;
		this.freshness = new CacheFreshness(keyCache, configurationCache);
		this.serving = new ServingGuard(fleet, keyCache, this.freshness, keys,
				() -> configuration.current().revision());
		BooleanSupplier platformUnavailable = () -> host.isJournalStalled(JOURNAL_STALL_THRESHOLD);
		UpstreamClient client = new UpstreamClient(this.http);
		RetryBudget retries = new RetryBudget();
		Dispatcher dispatcher = new Dispatcher(configuration::current, settings.dataCentre(), clock);
		ShardRouter shards = new ShardRouter(host, links);
		PoolService pools = new PoolService(configuration::current,
				() -> fleet.live().stream().map(LeaseRecord::instance).collect(Collectors.toSet()));
		this.models = new ModelSlotClient(settings.instance(), new SlotEndpoint(shards, pools), dispatcher,
				configuration::current, executor);
		ProgramRouter programs = new ProgramRouter(shards);
		OwnerGuard ownerGuard = new OwnerGuard(this.serving, host::isLeaseHeld);
		TurnService turns = new TurnService(this.models, retries, client, platformUnavailable, executor);
		ServiceCaller services = new ServiceCaller(dispatcher, retries, client, platformUnavailable);
		RateLimiter limiter = new RateLimiter(new RateEndpoint(configuration, shards), clock, GRANT_TIMEOUT);
		this.service = new CallerService(this.freshness, new KeyVerifier(keys, configuration, this.freshness),
				this.serving, limiter,
				new ChatEndpoint(configuration, this.serving, new DirectChat(this.models, retries, client), programs),
				new ProgramEndpoint(configuration, this.freshness, shards, programs, turns, ownerGuard,
						platformUnavailable),
				new ServiceEndpoint(configuration, this.freshness, shards, services, this.serving, ownerGuard),
				new InstancesEndpoint(fleet, host, settings.dataCentre()), metrics, clock);
		this.maintenance = new Maintenance(host, configuration, client, clock);
	}

	// ---- Accessors

	/**
	 * Returns the HTTP service that handles the calls of callers.
	 * @return the service
	 */
	public HttpService service() {
		return this.service;
	}

	/**
	 * Returns why calls that need a key are currently rejected.
	 * @return the reason, or empty if such calls are accepted
	 */
	public Optional<String> suspension() {
		return this.serving.check().map((refusal) -> refusal.detail());
	}

	/**
	 * Finds a workspace.
	 * @param id the id of the workspace
	 * @return the workspace, or a refusal with status 404 if it is not configured or with
	 * status 503 if the cached configuration is too old to decide that
	 */
	public Either<Refusal, Workspace> workspace(WorkspaceId id) {
		CacheFreshness.Age age = this.freshness.age();
		return Option.ofOptional(this.configuration.current().workspace(id))
			.toEither(() -> age.unavailableIfStale(
					Refusal.notRun(404, "unknown_workspace", "workspace \"" + id + "\" is not configured")));
	}

	/**
	 * Returns the programs of the shards that this instance owns.
	 * @return the programs
	 */
	public List<ProgramView> programs() {
		List<ProgramView> views = new ArrayList<>();
		this.host.owned().forEach((shard) -> views.addAll(shard.replica().programs().views()));
		return views;
	}

	// ---- Public API

	/**
	 * Ends idle programs, removes expired records and asks engines to release memory.
	 * Called at short intervals.
	 */
	public void maintain() {
		this.maintenance.runOnce();
	}

	/**
	 * Reports held slots to the owners of their pools, and makes the pools that this
	 * instance owns reject requests that have waited too long. Called at short intervals.
	 */
	public void reportSlots() {
		this.models.reportAll();
		this.host.owned().forEach((shard) -> shard.replica().pools().tick());
	}

	/**
	 * Closes the connections to upstreams.
	 */
	public void close() {
		this.http.close();
	}

}
