package org.ragworthook.core.reconcile;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects as many steps as the limits allow to start now.
 */
final class StepThrottle {

	private final StepLimits limits;

	private final StepTracker tracker;

	private final long now;

	private final Set<String> busyUpstreams = new HashSet<>();

	private final Map<String, Integer> byDomain = new HashMap<>();

	private int loads;

	private int loadsThisMinute;

	StepThrottle(StepLimits limits, StepTracker tracker, long now) {
		this.limits = limits;
		this.tracker = tracker;
		this.now = now;
		this.loadsThisMinute = tracker.loadsInLastMinute(now);
		tracker.running().forEach(this::count);
	}

	private void count(Step step) {
		this.busyUpstreams.add(step.upstream());
		this.byDomain.merge(step.failureDomain(), 1, Integer::sum);
		this.loads += step.kind().isLoad() ? 1 : 0;
	}

	List<Step> choose(List<Step> wanted) {
		List<Step> chosen = new ArrayList<>();
		for (Step step : wanted) {
			if (fits(step)) {
				chosen.add(step);
				count(step);
				this.loadsThisMinute += step.kind().isLoad() ? 1 : 0;
			}
		}
		return chosen;
	}

	private boolean fits(Step step) {
		if (this.busyUpstreams.contains(step.upstream())
				|| this.byDomain.getOrDefault(step.failureDomain(), 0) >= this.limits.stepsPerFailureDomain()
				|| this.tracker.backingOff(step.upstream(), step.subject(), this.now)) {
			return false;
		}
		return !step.kind().isLoad()
				|| (this.loads < this.limits.concurrentLoads() && this.loadsThisMinute < this.limits.loadsPerMinute());
	}

}
