package org.ragworthook.daemon.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.daemon.settings.DaemonSettings;

/**
 * The metrics of a process, read by Prometheus. Latencies are histograms by account and
 * class; their few fixed buckets bound what 6,000 accounts cost.
 */
public final class Metrics {

	private static final Duration[] BUCKETS = { Duration.ofMillis(5), Duration.ofMillis(20), Duration.ofMillis(50),
			Duration.ofMillis(100), Duration.ofMillis(250), Duration.ofMillis(500), Duration.ofSeconds(1),
			Duration.ofSeconds(5), Duration.ofSeconds(20) };

	private static final Duration[] WAIT_BUCKETS = { Duration.ofMillis(1), Duration.ofMillis(2), Duration.ofMillis(5),
			Duration.ofMillis(10), Duration.ofMillis(20), Duration.ofMillis(50), Duration.ofMillis(200),
			Duration.ofSeconds(1), Duration.ofSeconds(10) };

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private Metrics(DaemonSettings settings) {
		this.registry.config()
			.commonTags("role", settings.role().name().toLowerCase(Locale.ROOT), "failure_domain",
					settings.failureDomain().name());
	}

	/**
	 * Returns the metrics of a process.
	 * @param settings whose role and failure domain every metric bears
	 * @return metrics without values
	 */
	public static Metrics of(DaemonSettings settings) {
		return new Metrics(Objects.requireNonNull(settings, "settings is null"));
	}

	/**
	 * Returns the histogram of the time to the first token.
	 * @param account whose requests
	 * @param requestClass online or batch
	 * @return a timer
	 */
	public Timer firstToken(String account, String requestClass) {
		return timer("ragworthook.first.token", account, requestClass);
	}

	/**
	 * Returns the histogram of the time to the whole answer.
	 * @param account whose requests
	 * @param requestClass online or batch
	 * @return a timer
	 */
	public Timer request(String account, String requestClass) {
		return timer("ragworthook.request", account, requestClass);
	}

	private Timer timer(String name, String account, String requestClass) {
		return Timer.builder(name)
			.tag("account", account)
			.tag("class", requestClass)
			.serviceLevelObjectives(BUCKETS)
			.register(this.registry);
	}

	/**
	 * Returns the histogram of the time from a request's arrival at a sidecar until it is
	 * passed on to the upstream.
	 * @param requestClass online or batch
	 * @return a timer
	 */
	public Timer upstreamWait(String requestClass) {
		return Timer.builder("ragworthook.upstream.wait")
			.tag("class", requestClass)
			.serviceLevelObjectives(WAIT_BUCKETS)
			.register(this.registry);
	}

	/**
	 * Counts batch requests that gave way to online requests.
	 * @return a counter
	 */
	public Counter preemptions() {
		return this.registry.counter("ragworthook.preemptions");
	}

	/**
	 * Shows a number as it is at the moment.
	 * @param name the metric
	 * @param value gives the number
	 */
	public void gauge(String name, Supplier<Number> value) {
		Gauge.builder(name, value).strongReference(true).register(this.registry);
	}

	/**
	 * Counts an error that a caller or operator was told of.
	 * @param code the error
	 */
	public void error(ErrorCode code) {
		Counter.builder("ragworthook.errors")
			.tag("code", code.text())
			.tag("name", code.name())
			.register(this.registry)
			.increment();
	}

	/**
	 * Returns the registry, for metrics of single parts.
	 * @return the registry
	 */
	public PrometheusMeterRegistry registry() {
		return this.registry;
	}

	/**
	 * Returns all metrics as Prometheus reads them.
	 * @return text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
