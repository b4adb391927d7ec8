package org.ragworthook.core.reconcile;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Model;
import org.ragworthook.core.contract.Service;
import org.ragworthook.core.contract.ServiceType;

/**
 * Compares the contract with the observed fleet and selects the next steps.
 * <p>
 * Each call is based only on the current observation and returns only steps that may
 * start now, so a failed step, a replaced upstream or a contract that changed midway
 * needs no rollback. Running steps are never interrupted.
 */
public final class Reconciler {

	private final StepLimits limits;

	private final ToIntFunction<Model> demand;

	private Reconciler(StepLimits limits, ToIntFunction<Model> demand) {
		this.limits = Objects.requireNonNull(limits, "limits is null");
		this.demand = Objects.requireNonNull(demand, "demand is null");
	}

	/**
	 * Returns a reconciler.
	 * @param limits limits for concurrent changes
	 * @param demand the number of replicas that the requests of a model need; clamped to
	 * the bounds in the contract
	 * @return the reconciler
	 */
	public static Reconciler of(StepLimits limits, ToIntFunction<Model> demand) {
		return new Reconciler(limits, demand);
	}

	/**
	 * Selects the steps that may start now.
	 * @param contract the current contract
	 * @param observed the upstreams that are reachable and not draining
	 * @param tracker the running and failed steps
	 * @param now the ticker's reading, in nanoseconds
	 * @return the steps, the most urgent first, at most one per upstream
	 */
	public List<Step> plan(Contract contract, List<UpstreamView> observed, StepTracker tracker, long now) {
		Map<String, List<UpstreamView>> byService = new HashMap<>();
		observed.forEach((view) -> byService.computeIfAbsent(view.service(), (service) -> new ArrayList<>()).add(view));
		List<Step> wanted = new ArrayList<>();
		for (Service service : contract.services()) {
			if (service.type() == ServiceType.MODEL) {
				List<UpstreamView> upstreams = byService.getOrDefault(service.name(), List.of());
				wanted.addAll(wanted(service, upstreams, tracker, now));
			}
		}
		wanted.sort(Comparator.comparing(Step::priority));
		return new StepThrottle(this.limits, tracker, now).choose(wanted);
	}

	private List<Step> wanted(Service service, List<UpstreamView> upstreams, StepTracker tracker, long now) {
		List<Step> steps = new ArrayList<>();
		Map<String, List<UpstreamView>> holders = holders(upstreams);
		Map<String, List<Step>> loading = loading(tracker);
		PlacementPool candidates = new PlacementPool(upstreams, this.limits, tracker);
		for (Model model : service.models()) {
			new ModelPlan(model, holders.getOrDefault(model.name(), List.of()),
					loading.getOrDefault(model.name(), List.of()), candidates, this.limits, tracker, now)
				.addSteps(target(model), steps);
		}
		if (steps.stream().noneMatch((step) -> step.kind().isLoad())) {
			unloadUnused(service, upstreams, steps);
		}
		return steps;
	}

	private static Map<String, List<UpstreamView>> holders(List<UpstreamView> upstreams) {
		Map<String, List<UpstreamView>> holders = new HashMap<>();
		for (UpstreamView view : upstreams) {
			for (String subject : view.loaded()) {
				int separator = subject.indexOf('@');
				if (separator >= 0) {
					holders.computeIfAbsent(subject.substring(0, separator), (model) -> new ArrayList<>()).add(view);
				}
			}
		}
		return holders;
	}

	private static Map<String, List<Step>> loading(StepTracker tracker) {
		return tracker.running()
			.stream()
			.filter((step) -> step.kind() == Step.Kind.LOAD_MODEL)
			.collect(Collectors.groupingBy(Step::model));
	}

	private int target(Model model) {
		int wanted = Math.max(model.replicas().min(), this.demand.applyAsInt(model));
		return Math.min(wanted, model.replicas().max());
	}

	// Unloads what no model of the service needs any more, and only when nothing is
	// left to load: an earlier unload could remove the last replica.
	private static void unloadUnused(Service service, List<UpstreamView> upstreams, List<Step> steps) {
		Set<String> needed = new HashSet<>();
		service.models().forEach((model) -> {
			needed.add(model.name());
			needed.addAll(model.adapters());
		});
		for (UpstreamView view : upstreams) {
			for (String subject : view.loaded()) {
				int separator = subject.indexOf('@');
				String name = (separator < 0) ? subject : subject.substring(0, separator);
				if (!needed.contains(name)) {
					steps.add(new Step((separator < 0) ? Step.Kind.UNLOAD_ADAPTER : Step.Kind.UNLOAD_MODEL,
							Step.Priority.TIDY, view.id(), view.failureDomain(), name,
							(separator < 0) ? subject : subject.substring(separator + 1)));
				}
			}
		}
	}

}
