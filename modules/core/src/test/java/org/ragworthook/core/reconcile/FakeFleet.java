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
 * Upstreams that carry out steps, all those of a round at its end.
 */
final class FakeFleet {

	private final Map<String, UpstreamView> upstreams = new TreeMap<>();

	private final StepTracker memory = StepTracker.empty();

	private final List<Step> carriedOut = new ArrayList<>();

	private Predicate<Step> fails = (step) -> false;

	private long now;

	FakeFleet add(String domain, int count, String... loaded) {
		for (int index = 0; index < count; index++) {
			String id = String.format("%s-%05d", domain, this.upstreams.size());
			this.upstreams.put(id, new UpstreamView(id, "desk", domain, Set.of(loaded)));
		}
		return this;
	}

	void failing(Predicate<Step> steps) {
		this.fails = steps;
	}

	void lose(String domain) {
		this.upstreams.values().removeIf((view) -> view.failureDomain().equals(domain));
		this.memory.running()
			.stream()
			.filter((step) -> step.failureDomain().equals(domain))
			.forEach((step) -> this.memory.upstreamLost(step.upstream()));
	}

	List<Step> plan(Reconciler reconciler, Contract contract) {
		return reconciler.plan(contract, List.copyOf(this.upstreams.values()), this.memory, this.now);
	}

	List<Step> round(Reconciler reconciler, Contract contract, Duration length) {
		List<Step> steps = plan(reconciler, contract);
		steps.forEach((step) -> this.memory.started(step, this.now));
		this.now += length.toNanos();
		steps.forEach(this::end);
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

	private void end(Step step) {
		if (!this.upstreams.containsKey(step.upstream())) {
			return;
		}
		if (this.fails.test(step)) {
			this.memory.failed(step, "out of memory", this.now);
			return;
		}
		UpstreamView view = this.upstreams.get(step.upstream());
		Set<String> loaded = new HashSet<>(view.loaded());
		if (step.kind() == Step.Kind.LOAD_MODEL) {
			loaded.removeIf((held) -> held.startsWith(step.model() + "@"));
		}
		if (step.kind().isLoad()) {
			loaded.add(step.subject());
		}
		else {
			loaded.remove(step.subject());
		}
		this.upstreams.put(view.id(), new UpstreamView(view.id(), view.service(), view.failureDomain(), loaded));
		this.memory.succeeded(step);
		this.carriedOut.add(step);
	}

	Map<String, Integer> holders(String subject) {
		Map<String, Integer> holders = new HashMap<>();
		this.upstreams.values()
			.stream()
			.filter((view) -> view.loaded().contains(subject))
			.forEach((view) -> holders.merge(view.failureDomain(), 1, Integer::sum));
		return holders;
	}

	List<Step> carriedOut() {
		return this.carriedOut;
	}

	StepTracker memory() {
		return this.memory;
	}

}
