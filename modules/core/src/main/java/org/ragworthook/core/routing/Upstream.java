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
 * An upstream as one entry sees it: its sidecar's instance, the entry's own count of
 * requests there, what the sidecar last reported, and how it has fared. It lives on from
 * one route table to the next.
 */
public final class Upstream {

	/** How long a model counts as missing after the upstream's own answer said so. */
	public static final Duration MODEL_MISSING_TTL = Duration.ofSeconds(2);

	private static final int UNKNOWN_LIMIT = 16;

	private final Instance instance;

	private final OutlierDetector detector;

	private final long hash;

	private final AtomicInteger outstanding = new AtomicInteger();

	/** Requests of other entries in the upper half, the limit in the lower. */
	private final AtomicLong report = new AtomicLong(UNKNOWN_LIMIT);

	private final Map<String, Long> lacking = new ConcurrentHashMap<>();

	private volatile Set<String> models = Set.of();

	private Upstream(Instance instance, OutlierDetector detector) {
		this.instance = instance;
		this.detector = detector;
		this.hash = Hashing.of(instance.id());
	}

	/**
	 * Returns an upstream without a load.
	 * @param instance its sidecar
	 * @param outliers when it is left out after failures
	 * @return the upstream
	 */
	public static Upstream of(Instance instance, OutlierDetector.Settings outliers) {
		return new Upstream(Objects.requireNonNull(instance, "instance is null"), OutlierDetector.of(outliers));
	}

	/**
	 * Returns an upstream without a load and with the usual outlier settings.
	 * @param instance its sidecar
	 * @return the upstream
	 */
	public static Upstream of(Instance instance) {
		return of(instance, OutlierDetector.Settings.DEFAULT);
	}

	/**
	 * Returns the sidecar of the upstream.
	 * @return the instance
	 */
	public Instance instance() {
		return this.instance;
	}

	/**
	 * Returns how this upstream has fared.
	 * @return the detector
	 */
	public OutlierDetector detector() {
		return this.detector;
	}

	/**
	 * Returns this entry's own requests at the upstream.
	 * @return the count
	 */
	public int outstanding() {
		return this.outstanding.get();
	}

	/**
	 * Takes in a report of the sidecar. The report lags: requests that this entry sent
	 * since are not in it, and some that it counts have ended. Only what exceeds the
	 * entry's own count is taken from it, as the load that others bring.
	 * @param online online requests that run or wait there
	 * @param limit how many requests the engine runs at once; 0 while it takes none
	 */
	public void loadReported(int online, int limit) {
		long others = Math.max(0, online - this.outstanding.get());
		this.report.set((others << 32) | Math.max(0, limit));
	}

	/**
	 * Learns which models are loaded.
	 * @param names the models; none at all counts as any
	 */
	public void modelsReported(Set<String> names) {
		this.models = Set.copyOf(names);
	}

	/**
	 * Returns the load as far as it is known.
	 * @return requests at the upstream, this entry's and the others'
	 */
	public int load() {
		return this.outstanding.get() + (int) (this.report.get() >>> 32);
	}

	/**
	 * Returns how many requests the engine runs at once.
	 * @return the last limit reported
	 */
	public int limit() {
		return (int) this.report.get();
	}

	/**
	 * Tells whether a further request would have to wait.
	 * @return whether the load has reached the limit
	 */
	public boolean full() {
		return load() >= limit();
	}

	/**
	 * Learns that a model is not loaded, from the upstream's own answer. It counts for a
	 * while only, since the model may be loaded at any time without a word.
	 * @param model the model
	 * @param untilNanos the ticker's reading after which the model may be tried again
	 */
	public void modelMissing(String model, long untilNanos) {
		this.lacking.put(model, untilNanos);
	}

	/**
	 * Tells whether a model can be asked for here, as far as it is known.
	 * @param model the model, or the empty text for a request that names none
	 * @param now the ticker's reading
	 * @return false while it is known to be missing
	 */
	public boolean serves(String model, long now) {
		Set<String> loaded = this.models;
		if (model.isEmpty()) {
			return true;
		}
		Long until = this.lacking.isEmpty() ? null : this.lacking.get(model);
		return (until == null || now - until >= 0) && (loaded.isEmpty() || loaded.contains(model));
	}

	long hash() {
		return this.hash;
	}

	/**
	 * Returns how busy the upstream would be with one more request. One that returns
	 * after failures looks busier than it is.
	 * @param share its share, above zero
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
