package org.ragworthook.core.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.ragworthook.core.fleet.Instance;

/**
 * An upstream as seen by one entry: its sidecar's instance, the entry's own outstanding
 * requests, the last reported load and models, and an outlier detector. The same object
 * is used in successive route tables.
 */
public final class Upstream {

	/**
	 * How long a model is considered missing after the upstream has answered that it is
	 * not loaded.
	 */
	public static final Duration MODEL_MISSING_TTL = Duration.ofSeconds(2);

	private static final int DEFAULT_LIMIT = 16;

	private final Instance instance;

	private final OutlierDetector detector;

	private final long hash;

	private final AtomicInteger outstanding = new AtomicInteger();

	/**
	 * Online requests of other entries in the upper 32 bits, concurrency limit in the
	 * lower.
	 */
	private final AtomicLong report = new AtomicLong(DEFAULT_LIMIT);

	private final Map<String, Long> missingUntilNanos = new ConcurrentHashMap<>();

	private volatile Set<String> models = Set.of();

	private Upstream(Instance instance, OutlierDetector detector) {
		this.instance = instance;
		this.detector = detector;
		this.hash = Hashing.of(instance.id());
	}

	/**
	 * Returns an upstream without load.
	 * @param instance the sidecar's instance
	 * @param outliers when the upstream is ejected after failures
	 * @return the upstream
	 */
	public static Upstream of(Instance instance, OutlierDetector.Settings outliers) {
		return new Upstream(Objects.requireNonNull(instance, "instance is null"), OutlierDetector.of(outliers));
	}

	/**
	 * Returns an upstream without load and with default outlier settings.
	 * @param instance the sidecar's instance
	 * @return the upstream
	 */
	public static Upstream of(Instance instance) {
		return of(instance, OutlierDetector.Settings.DEFAULT);
	}

	/**
	 * Returns the instance of the upstream's sidecar.
	 * @return the instance
	 */
	public Instance instance() {
		return this.instance;
	}

	/**
	 * Returns the outlier detector of this upstream.
	 * @return the detector
	 */
	public OutlierDetector detector() {
		return this.detector;
	}

	/**
	 * Returns the number of this entry's own requests at the upstream.
	 * @return the count
	 */
	public int outstanding() {
		return this.outstanding.get();
	}

	/**
	 * Called with a load report of the sidecar. Reports are delayed: they lack requests
	 * that this entry has sent since, and count requests that have ended. Only the part
	 * that exceeds the entry's own count is used, as the load caused by other entries.
	 * @param online the number of online requests running or waiting there
	 * @param limit the number of requests that the engine runs concurrently; 0 while it
	 * accepts none
	 */
	public void loadReported(int online, int limit) {
		long others = Math.max(0, online - this.outstanding.get());
		this.report.set((others << 32) | Math.max(0, limit));
	}

	/**
	 * Called with the models that the upstream has loaded.
	 * @param names the names of the models; if empty, the upstream is assumed to serve
	 * any model
	 */
	public void modelsReported(Set<String> names) {
		this.models = Set.copyOf(names);
	}

	/**
	 * Returns the estimated load.
	 * @return the number of requests at the upstream, this entry's and the others'
	 */
	public int load() {
		return this.outstanding.get() + (int) (this.report.get() >>> 32);
	}

	/**
	 * Returns the concurrency limit of the engine.
	 * @return the limit last reported
	 */
	public int limit() {
		return (int) this.report.get();
	}

	/**
	 * Returns whether a further request would have to wait.
	 * @return whether the load has reached the limit
	 */
	public boolean full() {
		return load() >= limit();
	}

	/**
	 * Called when the upstream has answered that a model is not loaded. This holds for a
	 * limited time, since the model may be loaded at any time without notice.
	 * @param model the model
	 * @param untilNanos the ticker's reading after which the model may be tried again
	 */
	public void modelMissing(String model, long untilNanos) {
		this.missingUntilNanos.put(model, untilNanos);
	}

	/**
	 * Returns whether the upstream is expected to serve a model.
	 * @param model the model, or an empty string for a request without one
	 * @param now the ticker's reading, in nanoseconds
	 * @return false while the model is known to be missing
	 */
	public boolean serves(String model, long now) {
		Set<String> loaded = this.models;
		if (model.isEmpty()) {
			return true;
		}
		Long until = this.missingUntilNanos.isEmpty() ? null : this.missingUntilNanos.get(model);
		return (until == null || now - until >= 0) && (loaded.isEmpty() || loaded.contains(model));
	}

	long hash() {
		return this.hash;
	}

	/**
	 * Returns the relative load with one more request. The load of an upstream that is
	 * being readmitted after failures is overstated by its reduced share.
	 * @param share the share from the outlier detector, above zero
	 * @return the score; the lowest is best
	 */
	double score(double share) {
		return (load() + 1) / (limit() * share);
	}

	void begin() {
		this.outstanding.incrementAndGet();
	}

	void end() {
		this.outstanding.decrementAndGet();
	}

	@Override
	public String toString() {
		return this.instance.id();
	}

}
