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
 * What a leader remembers of its steps: which are under way, when loads began, and what
 * failed how often. A rebalancer that forgets its failures tries the same hopeless load
 * at every round and starves the others of the weight store; one would notice a model
 * that never comes up while loads go on and on. So a step that failed waits, twice as
 * long each time, and one that fails on several upstreams waits on all of them.
 */
public final class StepTracker {

	private static final Duration FIRST_WAIT = Duration.ofSeconds(5);

	private static final Duration LONGEST_WAIT = Duration.ofMinutes(5);

	private static final Duration MINUTE = Duration.ofMinutes(1);

	private static final int WIDESPREAD = 3;

	private static final String EVERYWHERE = "";

	private final Map<String, Step> running = new HashMap<>();

	private final Deque<Long> loadsBegun = new ArrayDeque<>();

	private final Map<Key, StepFailure> failures = new HashMap<>();

	private final Map<String, Set<String>> failedOn = new HashMap<>();

	private StepTracker() {
	}

	/**
	 * Returns a leader's memory at the start of its term.
	 * @return an empty memory
	 */
	public static StepTracker empty() {
		return new StepTracker();
	}

	/**
	 * Notes that a step has begun.
	 * @param step the step
	 * @param now the ticker's reading
	 */
	public synchronized void started(Step step, long now) {
		this.running.put(step.upstream(), step);
		if (step.kind().isLoad()) {
			this.loadsBegun.addLast(now);
		}
	}

	/**
	 * Notes that a step was carried out.
	 * @param step the step
	 */
	public synchronized void succeeded(Step step) {
		this.running.remove(step.upstream(), step);
		this.failures.remove(new Key(step.upstream(), step.subject()));
		this.failures.remove(new Key(EVERYWHERE, step.subject()));
		this.failedOn.remove(step.subject());
	}

	/**
	 * Notes that a step failed.
	 * @param step the step
	 * @param detail how
	 * @param now the ticker's reading
	 */
	public synchronized void failed(Step step, String detail, long now) {
		this.running.remove(step.upstream(), step);
		again(new Key(step.upstream(), step.subject()), detail, now);
		Set<String> upstreams = this.failedOn.computeIfAbsent(step.subject(), (subject) -> new HashSet<>());
		upstreams.add(step.upstream());
		if (upstreams.size() >= WIDESPREAD) {
			again(new Key(EVERYWHERE, step.subject()), detail, now);
		}
	}

	private void again(Key key, String detail, long now) {
		StepFailure before = this.failures.get(key);
		int count = (before != null) ? before.count() + 1 : 1;
		long wait = Math.min(LONGEST_WAIT.toNanos(), FIRST_WAIT.toNanos() << Math.min(count - 1, 10));
		this.failures.put(key, new StepFailure(key.upstream(), key.subject(), count, detail, now + wait));
	}

	/**
	 * Forgets a step whose outcome is not known, such as one on an upstream that is gone.
	 * What became of it shows when the upstream is observed again.
	 * @param upstream the upstream
	 */
	public synchronized void upstreamLost(String upstream) {
		this.running.remove(upstream);
	}

	/**
	 * Returns the steps under way.
	 * @return the steps, one an upstream at most
	 */
	public synchronized Collection<Step> running() {
		return List.copyOf(this.running.values());
	}

	/**
	 * Returns what fails.
	 * @return the failures, those on several upstreams among them
	 */
	public synchronized List<StepFailure> failures() {
		return new ArrayList<>(this.failures.values());
	}

	synchronized boolean busy(String upstream) {
		return this.running.containsKey(upstream);
	}

	synchronized boolean backingOff(String upstream, String subject, long now) {
		return backingOff(new Key(upstream, subject), now) || backingOff(new Key(EVERYWHERE, subject), now);
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
		return this.failures.containsKey(new Key(EVERYWHERE, subject));
	}

	synchronized int loadsInTheLastMinute(long now) {
		while (!this.loadsBegun.isEmpty() && now - this.loadsBegun.peekFirst() >= MINUTE.toNanos()) {
			this.loadsBegun.removeFirst();
		}
		return this.loadsBegun.size();
	}

	private record Key(String upstream, String subject) {
	}

}
