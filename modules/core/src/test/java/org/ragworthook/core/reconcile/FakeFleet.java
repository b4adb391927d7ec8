package org.ragworthook.core.reconcile;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.ragworthook.core.contract.Contract;

/**
 * A simulated fleet that executes the steps of a round at the end of the round.
 */
final class FakeFleet {

	private final Map<String, UpstreamView> upstreams = new TreeMap<>();

	private final StepTracker tracker = StepTracker.empty();

	private final List<Step> executed = new ArrayList<>();

	private Predicate<Step> failing = (step) -> false;

	private long now;

	FakeFleet add(String domain, int count, String... loaded) {
		for (int index = 0; index < count; index++) {
			String id = String.format("%s-%05d", domain, this.upstreams.size());
			this.upstreams.put(id, new UpstreamView(id, "desk", domain, Set.of(loaded)));
		}
		return this;
	}

	void failing(Predicate<Step> steps) {
		this.failing = steps;
	}

	void loseDomain(String domain) {
		this.upstreams.values().removeIf((view) -> view.failureDomain().equals(domain));
		this.tracker.running()
			.stream()
			.filter((step) -> step.failureDomain().equals(domain))
			.forEach((step) -> this.tracker.upstreamLost(step.upstream()));
	}

	List<Step> plan(Reconciler reconciler, Contract contract) {
		return reconciler.plan(contract, List.copyOf(this.upstreams.values()), this.tracker, this.now);
	}

	List<Step> round(Reconciler reconciler, Contract contract, Duration length) {
		List<Step> steps = plan(reconciler, contract);
		steps.forEach((step) -> this.tracker.started(step, this.now));
		this.now += length.toNanos();
		steps.forEach(this::complete);
		return steps;
	}

	int settle(Reconciler reconciler, Contract contract, int rounds) {
		for (int round = 0; round < rounds; round++) {
			if (round(reconciler, contract, Duration.ofSeconds(10)).isEmpty()) {
				return round;
			}
		}
		return rounds;
	}

	private void complete(Step step) {
		if (!this.upstreams.containsKey(step.upstream())) {
			return;
		}
		if (this.failing.test(step)) {
			this.tracker.failed(step, "out of memory", this.now);
			return;
		}
		UpstreamView view = this.upstreams.get(step.upstream());
		Set<String> loaded = new HashSet<>(view.loaded());
		if (step.kind() == Step.Kind.LOAD_MODEL) {
			loaded.removeIf((subject) -> subject.startsWith(step.model() + "@"));
		}
		if (step.kind().isLoad()) {
			loaded.add(step.subject());
		}
		else {
			loaded.remove(step.subject());
		}
		this.upstreams.put(view.id(), new UpstreamView(view.id(), view.service(), view.failureDomain(), loaded));
		this.tracker.succeeded(step);
		this.executed.add(step);
	}

	Map<String, Integer> holders(String subject) {
		Map<String, Integer> holders = new HashMap<>();
		this.upstreams.values()
			.stream()
			.filter((view) -> view.loaded().contains(subject))
			.forEach((view) -> holders.merge(view.failureDomain(), 1, Integer::sum));
		return holders;
	}

	List<Step> executed() {
		return this.executed;
	}

	StepTracker tracker() {
		return this.tracker;
	}

}
