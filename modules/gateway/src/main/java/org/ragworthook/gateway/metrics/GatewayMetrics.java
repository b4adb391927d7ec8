package org.ragworthook.gateway.metrics;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * The metrics of a process, as text for Prometheus. Names of routes and upstreams are not
 * among the tags, since their number is not bounded.
 */
public final class GatewayMetrics {

	/** From an engine's fastest first event to a caller's longest deadline. */
	private static final Duration[] BUCKETS = { Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(200), Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofSeconds(1),
			Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofSeconds(20) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<String, Counter> counters = new ConcurrentHashMap<>();

	private final Map<String, Counter> storeCalls = new ConcurrentHashMap<>();

	private final Timer firstEvent = timer("ragworthook.gateway.first.event", "From a request's arrival to its answer");

	private final Timer whole = timer("ragworthook.gateway.request", "From a request's arrival to its end");

	private final Timer storeCall = timer("ragworthook.gateway.store.call", "Calls of the platform's store");

	private GatewayMetrics() {
	}

	/**
	 * Returns metrics without values.
	 * @return new metrics
	 */
	public static GatewayMetrics empty() {
		return new GatewayMetrics();
	}

	private Timer timer(String name, String description) {
		return Timer.builder(name).description(description).serviceLevelObjectives(BUCKETS).register(this.registry);
	}

	private void count(String name, String tag, String value, double amount) {
		this.counters
			.computeIfAbsent(name + "/" + value, (key) -> Counter.builder(name).tag(tag, value).register(this.registry))
			.increment(amount);
	}

	/**
	 * Counts a request that has ended.
	 * @param outcome how
	 * @param firstMillis when its answer began, or a negative number if it did not
	 * @param millis how long it took
	 */
	public void requestEnded(String outcome, long firstMillis, long millis) {
		count("ragworthook.gateway.requests", "outcome", outcome, 1);
		this.whole.record(millis, TimeUnit.MILLISECONDS);
		if (firstMillis >= 0) {
			this.firstEvent.record(firstMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Counts a request that was refused before it was placed.
	 * @param reason why
	 */
	public void requestRefused(String reason) {
		count("ragworthook.gateway.refusals", "reason", reason, 1);
	}

	/**
	 * Counts an attempt at an upstream that brought no whole answer.
	 * @param reason why
	 */
	public void attemptFailed(String reason) {
		count("ragworthook.gateway.attempts.failed", "reason", reason, 1);
	}

	/**
	 * Counts an item of a batch job that has ended.
	 * @param completed whether it ran to its end
	 */
	public void itemEnded(boolean completed) {
		count("ragworthook.gateway.items", "outcome", completed ? "completed" : "given_up", 1);
	}

	/**
	 * Counts items that gave their slots to online requests.
	 * @param items how many
	 */
	public void itemsPreempted(int items) {
		count("ragworthook.gateway.items.cut", "reason", "yielded", items);
	}

	/**
	 * Counts a call of the platform's store.
	 * @param collection what the call concerned
	 * @param call what it did there
	 * @param answered whether an answer came
	 * @param nanos how long it took
	 */
	public void storeCall(String collection, String call, boolean answered, long nanos) {
		this.storeCalls
			.computeIfAbsent(collection + "." + call + (answered ? "" : ".failed"),
					(name) -> Counter.builder("ragworthook.gateway.store.calls")
						.tags("collection", collection, "call", call, "outcome", answered ? "answered" : "failed")
						.register(this.registry))
			.increment();
		this.storeCall.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns how often the platform's store was called.
	 * @return counts since the start by collection and call, such as
	 * {@code servers.watch:12,servers.list:1}, in order of their names
	 */
	public String storeCalls() {
		return new TreeMap<>(this.storeCalls).entrySet()
			.stream()
			.map((entry) -> entry.getKey() + ":" + (long) entry.getValue().count())
			.collect(Collectors.joining(","));
	}

	/**
	 * Shows a figure that is read when the metrics are.
	 * @param <T> what the figure is read from
	 * @param name its name
	 * @param source what it is read from
	 * @param reading reads it
	 */
	public <T> void gauge(String name, T source, ToDoubleFunction<T> reading) {
		Gauge.builder("ragworthook.gateway." + name, source, reading).strongReference(true).register(this.registry);
	}

	/**
	 * Writes all metrics.
	 * @return text as Prometheus reads it
	 */
	public String text() {
		return this.registry.scrape();
	}

}
