package org.ragworthook.core.reconcile;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks a leader's steps: which are running, when loads started, and which failed.
 * Without a record of failures, the planner would retry the same failing load in every
 * round and use up the load rate of the weight store, so that other models could not be
 * loaded. A failed step is therefore retried with exponential backoff, and a step that
 * fails on several upstreams backs off on all of them.
 */
public final class StepTracker {

	private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(5);

	private static final Duration MAX_BACKOFF = Duration.ofMinutes(5);

	private static final Duration LOAD_RATE_WINDOW = Duration.ofMinutes(1);

	private static final int WIDESPREAD_UPSTREAMS = 3;

	private static final String ALL_UPSTREAMS = "";

	private final Map<String, Step> running = new HashMap<>();

	private final Deque<Long> loadStartsNanos = new ArrayDeque<>();

	private final Map<Key, StepFailure> failures = new HashMap<>();

	private final Map<String, Set<String>> failedUpstreams = new HashMap<>();

	private StepTracker() {
	}

	/**
	 * Returns an empty tracker, for the start of a leader's term.
	 * @return a new tracker
	 */
	public static StepTracker empty() {
		return new StepTracker();
	}

	/**
	 * Called when a step has been started.
	 * @param step the step
	 * @param now the ticker's reading
	 */
	public synchronized void started(Step step, long now) {
		this.running.put(step.upstream(), step);
		if (step.kind().isLoad()) {
			this.loadStartsNanos.addLast(now);
		}
	}

	/**
	 * Called when a step has succeeded.
	 * @param step the step
	 */
	public synchronized void succeeded(Step step) {
		this.running.remove(step.upstream(), step);
		this.failures.remove(new Key(step.upstream(), step.subject()));
		this.failures.remove(new Key(ALL_UPSTREAMS, step.subject()));
		this.failedUpstreams.remove(step.subject());
	}

	/**
	 * Called when a step has failed.
	 * @param step the step
	 * @param detail the error
	 * @param now the ticker's reading
	 */
	public synchronized void failed(Step step, String detail, long now) {
		this.running.remove(step.upstream(), step);
		scheduleRetry(new Key(step.upstream(), step.subject()), detail, now);
		Set<String> upstreams = this.failedUpstreams.computeIfAbsent(step.subject(), (subject) -> new HashSet<>());
		upstreams.add(step.upstream());
		if (upstreams.size() >= WIDESPREAD_UPSTREAMS) {
			scheduleRetry(new Key(ALL_UPSTREAMS, step.subject()), detail, now);
		}
	}

	private void scheduleRetry(Key key, String detail, long now) {
		StepFailure previous = this.failures.get(key);
		int count = (previous != null) ? previous.count() + 1 : 1;
		long backoffNanos = Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << Math.min(count - 1, 10));
		this.failures.put(key, new StepFailure(key.upstream(), key.subject(), count, detail, now + backoffNanos));
	}

	/**
	 * Removes the running step of an upstream that was disconnected. The outcome of the
	 * step is unknown until the upstream is observed again.
	 * @param upstream the upstream
	 */
	public synchronized void upstreamLost(String upstream) {
		this.running.remove(upstream);
	}

	/**
	 * Returns the running steps.
	 * @return the steps, at most one per upstream
	 */
	public synchronized Collection<Step> running() {
		return List.copyOf(this.running.values());
	}

	/**
	 * Returns the steps that have failed repeatedly.
	 * @return the failures, including those on several upstreams
	 */
	public synchronized List<StepFailure> failures() {
		return new ArrayList<>(this.failures.values());
	}

	synchronized boolean busy(String upstream) {
		return this.running.containsKey(upstream);
	}

	synchronized boolean backingOff(String upstream, String subject, long now) {
		return backingOff(new Key(upstream, subject), now) || backingOff(new Key(ALL_UPSTREAMS, subject), now);
	}

	private boolean backingOff(Key key, long now) {
		StepFailure failure = this.failures.get(key);
		return failure != null && now - failure.retryNanos() < 0;
	}

	synchronized int failures(String upstream, String subject) {
		StepFailure failure = this.failures.get(new Key(upstream, subject));
		return (failure != null) ? failure.count() : 0;
	}

	synchronized boolean widespread(String subject) {
		return this.failures.containsKey(new Key(ALL_UPSTREAMS, subject));
	}

	synchronized int loadsInLastMinute(long now) {
		while (!this.loadStartsNanos.isEmpty()
				&& now - this.loadStartsNanos.peekFirst() >= LOAD_RATE_WINDOW.toNanos()) {
			this.loadStartsNanos.removeFirst();
		}
		return this.loadStartsNanos.size();
	}

	private record Key(String upstream, String subject) {
	}

}
