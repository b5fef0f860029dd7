package org.mangorack.observe;

import java.time.Duration;
import java.util.function.Supplier;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * The metrics of an instance.
 */
public final class Metrics {

	private static final Duration[] LATENCY_BUCKETS = { Duration.ofMillis(1), Duration.ofMillis(2),
			Duration.ofMillis(5), Duration.ofMillis(10), Duration.ofMillis(25), Duration.ofMillis(50),
			Duration.ofMillis(100), Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1),
			Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofSeconds(10), Duration.ofSeconds(30),
			Duration.ofSeconds(60) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final LimitedTimers calls = new LimitedTimers(this, "mangorack.calls", 2, "workspace", "class", "outcome");

	private final LimitedTimers firstBytes = new LimitedTimers(this, "mangorack.calls.first.byte", 2, "workspace",
			"class");

	private boolean processMetricsBound;

	public Metrics() {
		FunctionCounter.builder("mangorack.log.dropped", this, (m) -> EventLog.droppedRecords())
			.register(this.registry);
		FunctionCounter.builder("mangorack.invariant.violations", this, (m) -> Invariants.violations())
			.register(this.registry);
	}

	/**
	 * Returns the registry, for packages that register their own meters.
	 * @return the registry
	 */
	public MeterRegistry registry() {
		return this.registry;
	}

	/**
	 * Records the duration of a call. The number of combinations of workspace and class
	 * that are told apart is limited.
	 * @param workspace the workspace, or {@code none} for calls without a key
	 * @param type the class of the call, such as {@code chat}
	 * @param outcome {@code ok} or the code of the refusal
	 * @param time the duration of the call
	 */
	public void recordCall(String workspace, String type, String outcome, Duration time) {
		this.calls.get(workspace, type, outcome).record(time);
	}

	/**
	 * Records the time from the arrival of a call to the first byte of its body.
	 * @param workspace the workspace
	 * @param type the class of the call
	 * @param time the time to the first byte
	 */
	public void recordFirstByte(String workspace, String type, Duration time) {
		this.firstBytes.get(workspace, type).record(time);
	}

	/**
	 * Returns a timer with the standard latency buckets.
	 * @param name the name of the timer
	 * @param tags alternating tag names and values
	 * @return the timer
	 */
	public Timer timer(String name, String... tags) {
		return Timer.builder(name).tags(tags).serviceLevelObjectives(LATENCY_BUCKETS).register(this.registry);
	}

	/**
	 * Increments a counter.
	 * @param name the name of the counter
	 * @param amount the increment
	 * @param tags alternating tag names and values
	 */
	public void count(String name, double amount, String... tags) {
		this.registry.counter(name, tags).increment(amount);
	}

	/**
	 * Registers a gauge.
	 * @param name the name of the gauge
	 * @param value supplies the current value
	 */
	public void gauge(String name, Supplier<Number> value) {
		Gauge.builder(name, value).register(this.registry);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 */
	public synchronized String scrape() {
		// The JVM and processor meters load classes that nothing else needs, so they are
		// registered on the first scrape instead of at startup.
		if (!this.processMetricsBound) {
			this.processMetricsBound = true;
			new JvmMemoryMetrics().bindTo(this.registry);
			new ProcessorMetrics().bindTo(this.registry);
		}
		return this.registry.scrape();
	}

}
