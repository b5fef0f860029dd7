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
 * Assembles the interface towards callers.
 */
public final class CallerEntry {

	private static final Duration STALL_LIMIT = Duration.ofMillis(1200);

	private static final Duration GRANT_WAIT = Duration.ofSeconds(2);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);

	private final PooledHttpClient http = new PooledHttpClient(CONNECT_TIMEOUT);

	private final ConfigurationStore configuration;

	private final RecentCopies copies;

	private final CallerService service;

	private final Maintenance maintenance;

	private final ServingGuard serving;

	private final ShardHost<ShardContents> host;

	private final ModelSlotClient models;

	/**
	 * Creates the interface and registers its calls between instances.
	 * @param settings the settings of the instance
	 * @param clock the time source
	 * @param metrics the metrics of the instance
	 * @param configuration the configuration in force
	 * @param keys the keys of callers
	 * @param keyCache the copy of all keys
	 * @param configurationCache the copy of the configuration
	 * @param fleet the instances
	 * @param links the links to other instances
	 * @param host the shards of this instance
	 * @param traffic runs turns
	 */
	public CallerEntry(Settings settings, MonotonicClock clock, Metrics metrics, ConfigurationStore configuration,
			KeyRegistry keys, KindCache keyCache, KindCache configurationCache, Fleet fleet, PeerLinks links,
			ShardHost<ShardContents> host, ExecutorService traffic) {
		this.host = host;
		this.configuration = configuration;
		this.copies = new RecentCopies(keyCache, configurationCache);
		this.serving = new ServingGuard(fleet, keyCache, this.copies, keys, () -> configuration.current().revision());
		BooleanSupplier platformUnavailable = () -> host.isJournalStalled(STALL_LIMIT);
		UpstreamClient client = new UpstreamClient(this.http);
		RetryBudget retries = new RetryBudget();
		Dispatcher dispatcher = new Dispatcher(configuration::current, settings.dataCentre(), clock);
		ShardRouter shards = new ShardRouter(host, links);
		PoolService pools = new PoolService(configuration::current,
				() -> fleet.live().stream().map(LeaseRecord::instance).collect(Collectors.toSet()));
		this.models = new ModelSlotClient(settings.instance(), new SlotEndpoint(shards, pools), dispatcher,
				configuration::current, traffic);
		ProgramRouter programs = new ProgramRouter(shards);
		OwnerGuard ownerGuard = new OwnerGuard(this.serving, host::isLeaseHeld);
		TurnService turns = new TurnService(this.models, retries, client, platformUnavailable, traffic);
		ServiceCaller services = new ServiceCaller(dispatcher, retries, client, platformUnavailable);
		RateLimiter limiter = new RateLimiter(new RateEndpoint(configuration, shards), clock, GRANT_WAIT);
		this.service = new CallerService(this.copies, new KeyCheck(keys, configuration, this.copies), this.serving,
				limiter,
				new ChatEndpoint(configuration, this.serving, new DirectChat(this.models, retries, client), programs),
				new ProgramEndpoint(configuration, this.copies, shards, programs, turns, ownerGuard,
						platformUnavailable),
				new ServiceEndpoint(configuration, this.copies, shards, services, this.serving, ownerGuard),
				new InstancesEndpoint(fleet, host, settings.dataCentre()), metrics, clock);
		this.maintenance = new Maintenance(host, configuration, client, clock);
	}

	// ---- Accessors

	/**
	 * Returns what answers callers.
	 * @return the service
	 */
	public HttpService service() {
		return this.service;
	}

	/**
	 * Tells why keyed work is refused at present.
	 * @return the reason, or empty when keyed work is taken
	 */
	public Optional<String> suspension() {
		return this.serving.check().map((refusal) -> refusal.detail());
	}

	/**
	 * Finds a workspace.
	 * @param id its id
	 * @return the workspace, or a refusal: with status 404 if it is not configured, or
	 * with status 503 if the copy of the configuration may be too old to tell
	 */
	public Either<Refusal, Workspace> workspace(WorkspaceId id) {
		RecentCopies.Age age = this.copies.age();
		return Option.ofOptional(this.configuration.current().workspace(id))
			.toEither(() -> age
				.certain(Refusal.notRun(404, "unknown_workspace", "workspace \"" + id + "\" is not configured")));
	}

	/**
	 * Returns the programs that this instance owns.
	 * @return the programs
	 */
	public List<ProgramView> programs() {
		List<ProgramView> views = new ArrayList<>();
		this.host.owned().forEach((shard) -> views.addAll(shard.replica().programs().views()));
		return views;
	}

	// ---- Public API

	/**
	 * Ends idle programs and asks engines to release memory. Called at short intervals.
	 */
	public void maintain() {
		this.maintenance.round();
	}

	/**
	 * Reports held slots to the owners of pools, and lets the pools owned here refuse
	 * what is late. Called at short intervals.
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
