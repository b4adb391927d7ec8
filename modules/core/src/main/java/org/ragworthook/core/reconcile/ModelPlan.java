package org.ragworthook.core.reconcile;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.ragworthook.core.contract.Model;

/**
 * Computes the steps that one model needs, in this order: missing replicas, their spread
 * over failure domains, adapters, the roll-out of its version, and balance.
 */
final class ModelPlan {

	private static final int PLANNED_LOADS_FACTOR = 4;

	private final Model model;

	private final PlacementPool candidates;

	private final StepLimits limits;

	private final StepTracker tracker;

	private final long now;

	private final List<UpstreamView> current = new ArrayList<>();

	private final List<UpstreamView> outdated = new ArrayList<>();

	private final Map<String, Integer> byDomain = new HashMap<>();

	private final String version;

	private int replicas;

	ModelPlan(Model model, List<UpstreamView> holders, Collection<Step> loading, PlacementPool candidates,
			StepLimits limits, StepTracker tracker, long now) {
		this.model = model;
		this.candidates = candidates;
		this.limits = limits;
		this.tracker = tracker;
		this.now = now;
		candidates.domains().forEach((domain) -> this.byDomain.put(domain, 0));
		Set<String> busy = loading.stream().map(Step::upstream).collect(Collectors.toSet());
		loading.forEach((step) -> count(step.failureDomain()));
		holders.stream().filter((view) -> !busy.contains(view.id())).forEach(this::classify);
		this.version = targetVersion();
	}

	private void count(String domain) {
		this.replicas++;
		this.byDomain.merge(domain, 1, Integer::sum);
	}

	private void classify(UpstreamView view) {
		count(view.failureDomain());
		boolean holdsCurrent = view.loaded().contains(this.model.id());
		(holdsCurrent ? this.current : this.outdated).add(view);
	}

	void addSteps(int target, List<Step> steps) {
		int missing = target - this.replicas;
		// No more loads can start now; planning all missing replicas of a large fleet
		// would take seconds.
		for (int index = 0; index < Math.min(missing, PLANNED_LOADS_FACTOR * this.limits.concurrentLoads()); index++) {
			boolean below = this.replicas < this.model.replicas().min();
			load(below ? Step.Priority.RESTORE : Step.Priority.BALANCE, steps);
		}
		spread(steps);
		adapters(steps);
		rollOut(steps);
		if (missing <= 0 && this.outdated.isEmpty()) {
			balance(target, steps);
		}
	}

	// -- replicas and spread

	private void load(Step.Priority priority, List<Step> steps) {
		candidate((domain) -> true).ifPresent((view) -> load(view, priority, steps));
	}

	private void load(UpstreamView view, Step.Priority priority, List<Step> steps) {
		count(view.failureDomain());
		steps.add(step(Step.Kind.LOAD_MODEL, priority, view, this.version));
	}

	private Optional<UpstreamView> candidate(Predicate<String> domains) {
		String subject = this.model.name() + "@" + this.version;
		return this.candidates.take(domains, this.byDomain, (view) -> view.version(this.model.name()).isEmpty()
				&& !this.tracker.backingOff(view.id(), subject, this.now));
	}

	private void spread(List<Step> steps) {
		long covered = this.byDomain.values().stream().filter((count) -> count > 0).count();
		for (long missingDomains = this.model.replicas().failureDomains()
				- covered; missingDomains > 0; missingDomains--) {
			candidate((domain) -> this.byDomain.getOrDefault(domain, 0) == 0)
				.ifPresent((view) -> load(view, Step.Priority.SPREAD, steps));
		}
	}

	private void adapters(List<Step> steps) {
		for (UpstreamView view : this.current) {
			for (String adapter : this.model.adapters()) {
				if (!view.loaded().contains(adapter)) {
					steps.add(step(Step.Kind.LOAD_ADAPTER, Step.Priority.ADAPTER, view, adapter));
				}
			}
		}
	}

	// -- versions

	// A version that fails to load on several upstreams would probably fail on the
	// others too, and each upstream is out of service while it tries. The roll-out then
	// stops, and the upstreams that have the version return to the one that most of the
	// others hold. Before that point, upstreams without failures go first; otherwise a
	// single faulty upstream would look like a faulty version.
	private void rollOut(List<Step> steps) {
		String subject = this.model.name() + "@" + this.version;
		List<UpstreamView> from = this.version.equals(this.model.version()) ? this.outdated : this.current;
		long underWay = this.tracker.running()
			.stream()
			.filter((step) -> step.priority() == Step.Priority.ROLL_OUT && step.model().equals(this.model.name()))
			.count();
		from.stream()
			.filter((view) -> !this.tracker.busy(view.id()))
			.filter((view) -> !this.tracker.backingOff(view.id(), subject, this.now))
			.sorted(Comparator.comparingInt((UpstreamView view) -> this.tracker.failures(view.id(), subject))
				.thenComparing(UpstreamView::id))
			.limit(Math.max(0, this.limits.concurrentRollOuts() - underWay))
			.forEach((view) -> steps.add(step(Step.Kind.LOAD_MODEL, Step.Priority.ROLL_OUT, view, this.version)));
	}

	private String targetVersion() {
		boolean rollBack = this.tracker.widespread(this.model.id()) && !this.outdated.isEmpty();
		return rollBack ? mostCommonVersion() : this.model.version();
	}

	private String mostCommonVersion() {
		return this.outdated.stream()
			.map((view) -> view.version(this.model.name()).orElseThrow())
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()))
			.entrySet()
			.stream()
			.max(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
			.orElseThrow()
			.getKey();
	}

	// -- balance

	// Moving a replica costs a load from the weight store and a cold prefix cache, so
	// small imbalances are tolerated. Without the threshold, replicas would be moved
	// after every restart.
	private void balance(int target, List<Step> steps) {
		int highest = this.byDomain.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int lowest = this.byDomain.values().stream().mapToInt(Integer::intValue).min().orElse(0);
		boolean uneven = highest - lowest > Math.max(1, this.limits.rebalanceThreshold());
		if (this.replicas > this.model.replicas().max() || this.replicas - target > this.limits.rebalanceThreshold()
				|| (uneven && this.replicas > target)) {
			unload(steps);
		}
		else if (uneven) {
			int fewest = lowest;
			candidate((domain) -> this.byDomain.getOrDefault(domain, 0) == fewest)
				.ifPresent((view) -> load(view, Step.Priority.BALANCE, steps));
		}
	}

	private void unload(List<Step> steps) {
		this.current.stream()
			.filter((view) -> !this.tracker.busy(view.id()))
			.max(Comparator.comparingInt((UpstreamView view) -> this.byDomain.get(view.failureDomain()))
				.thenComparing(UpstreamView::id))
			.ifPresent(
					(view) -> steps.add(step(Step.Kind.UNLOAD_MODEL, Step.Priority.TIDY, view, this.model.version())));
	}

	private Step step(Step.Kind kind, Step.Priority priority, UpstreamView view, String detail) {
		return new Step(kind, priority, view.id(), view.failureDomain(), this.model.name(), detail);
	}

}
