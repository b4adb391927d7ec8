package org.ragworthook.gateway.metrics;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.ragworthook.gateway.memory.ByteBudget;
import org.ragworthook.gateway.memory.HeldKind;

/**
 * The metrics of a process in the text format of Prometheus. Routes and upstreams are not
 * used as tags, since their number is unbounded, and only the largest accounts are.
 */
public final class GatewayMetrics {

	/** Range from an engine's fastest first event to a caller's longest deadline. */
	private static final Duration[] BUCKETS = { Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(100),
			Duration.ofMillis(200), Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofSeconds(1),
			Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofSeconds(20) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Map<String, Counter> counters = new ConcurrentHashMap<>();

	private final List<Runnable> beforeScrape = new CopyOnWriteArrayList<>();

	private final Map<String, Counter> storeCallCounters = new ConcurrentHashMap<>();

	private final Timer firstEventTime = timer("ragworthook.gateway.first.event",
			"Time from the arrival of a request to the start of its answer");

	private final Timer requestTime = timer("ragworthook.gateway.request",
			"Time from the arrival of a request to its end");

	private final Timer storeCallTime = timer("ragworthook.gateway.store.call",
			"Duration of calls of the platform's store");

	private GatewayMetrics() {
	}

	/**
	 * Returns metrics without recorded values.
	 * @return the metrics
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
	 * @param outcome how the request ended
	 * @param firstByteMillis the time from the request's arrival to the start of its
	 * answer in milliseconds, or a negative number if there was none
	 * @param totalMillis the time from the request's arrival to its end in milliseconds
	 */
	public void requestEnded(String outcome, long firstByteMillis, long totalMillis) {
		count("ragworthook.gateway.requests", "outcome", outcome, 1);
		this.requestTime.record(totalMillis, TimeUnit.MILLISECONDS);
		if (firstByteMillis >= 0) {
			this.firstEventTime.record(firstByteMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Counts a request that was refused before it was placed at an upstream.
	 * @param reason why the request was refused
	 */
	public void requestRefused(String reason) {
		count("ragworthook.gateway.refusals", "reason", reason, 1);
	}

	/**
	 * Counts an attempt at an upstream that brought no complete answer.
	 * @param reason why the attempt failed
	 */
	public void attemptFailed(String reason) {
		count("ragworthook.gateway.attempts.failed", "reason", reason, 1);
	}

	/**
	 * Counts an attempt of an online request by what ended its response.
	 * @param end the mark of a complete response, or how the attempt failed
	 */
	public void attemptEnded(String end) {
		count("ragworthook.gateway.attempts.ended", "end", end, 1);
	}

	/**
	 * Counts a response of an upstream that was not taken for the one to the request in
	 * progress.
	 * @param reason why it was skipped
	 */
	public void responseSkipped(String reason) {
		count("ragworthook.gateway.responses.skipped", "reason", reason, 1);
	}

	/**
	 * Counts an item of a batch job that has ended.
	 * @param completed whether the item ran to its end, rather than being given up
	 */
	public void itemEnded(boolean completed) {
		count("ragworthook.gateway.items", "outcome", completed ? "completed" : "given_up", 1);
	}

	/**
	 * Counts batch items that were preempted: their slots went to online requests.
	 * @param items the number of items
	 */
	public void itemsPreempted(int items) {
		count("ragworthook.gateway.items.cut", "reason", "yielded", items);
	}

	/**
	 * Counts a write that the platform's store refused because the object was too large.
	 * @param collection the collection of the object
	 */
	public void objectTooLarge(String collection) {
		count("ragworthook.gateway.store.too.large", "collection", collection, 1);
	}

	/**
	 * Counts a call of the platform's store.
	 * @param collection the collection of objects that was called
	 * @param call the kind of call
	 * @param answered whether the store answered
	 * @param nanos the duration of the call in nanoseconds
	 */
	public void storeCall(String collection, String call, boolean answered, long nanos) {
		this.storeCallCounters
			.computeIfAbsent(collection + "." + call + (answered ? "" : ".failed"),
					(name) -> Counter.builder("ragworthook.gateway.store.calls")
						.tags("collection", collection, "call", call, "outcome", answered ? "answered" : "failed")
						.register(this.registry))
			.increment();
		this.storeCallTime.record(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns the number of calls of the platform's store since the start of the process.
	 * @return the counts by collection and kind of call in alphabetical order, such as
	 * {@code servers.list:1,servers.watch:12}
	 */
	public String storeCalls() {
		return new TreeMap<>(this.storeCallCounters).entrySet()
			.stream()
			.map((entry) -> entry.getKey() + ":" + (long) entry.getValue().count())
			.collect(Collectors.joining(","));
	}

	/**
	 * Registers a gauge, which is read each time the metrics are scraped.
	 * @param <T> the type of the source
	 * @param name the name of the gauge without the common prefix
	 * @param source the object that the value is read from, kept by a strong reference
	 * @param value reads the value
	 */
	public <T> void gauge(String name, T source, ToDoubleFunction<T> value) {
		Gauge.builder("ragworthook.gateway." + name, source, value).strongReference(true).register(this.registry);
	}

	/**
	 * Registers a gauge of one service, which is read each time the metrics are scraped.
	 * @param <T> the type of the source
	 * @param name the name of the gauge without the common prefix
	 * @param service the service, the value of the tag of that name
	 * @param source the object that the value is read from, kept by a strong reference
	 * @param value reads the value
	 */
	public <T> void serviceGauge(String name, String service, T source, ToDoubleFunction<T> value) {
		Gauge.builder("ragworthook.gateway." + name, source, value)
			.tag("service", service)
			.strongReference(true)
			.register(this.registry);
	}

	/**
	 * Registers gauges that differ by one tag, which are read each time the metrics are
	 * scraped.
	 * @param name the name of the gauges without the common prefix
	 * @param tag the name of the tag
	 * @param values returns the values by the tag's value; their number has to be bounded
	 */
	public void gauges(String name, String tag, Supplier<Map<String, Double>> values) {
		MultiGauge gauges = MultiGauge.builder("ragworthook.gateway." + name).register(this.registry);
		this.beforeScrape.add(() -> gauges.register(values.get()
			.entrySet()
			.stream()
			.map((entry) -> MultiGauge.Row.of(Tags.of(tag, entry.getKey()), entry.getValue()))
			.toList(), true));
	}

	/**
	 * Registers the gauges of a byte budget.
	 * @param budget the budget
	 */
	public void memory(ByteBudget budget) {
		gauge("memory.limit", budget, ByteBudget::limit);
		for (HeldKind kind : HeldKind.values()) {
			gauge("memory.held." + kind.label(), budget, (present) -> present.held(kind));
		}
		gauge("memory.closed.connections", budget, ByteBudget::closedConnections);
	}

	/**
	 * Returns the current values of all metrics.
	 * @return the values in the text format of Prometheus
	 */
	public String scrape() {
		this.beforeScrape.forEach(Runnable::run);
		return this.registry.scrape();
	}

}
