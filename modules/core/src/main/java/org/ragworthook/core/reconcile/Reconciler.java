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
 * Compares what the text demands with what is observed and chooses the next steps.
 * <p>
 * Each call starts from the observation anew and returns only what may begin now, so a
 * step that came to nothing, an upstream that was replaced or a text that changed halfway
 * needs no undoing. Steps under way are never interrupted.
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
	 * @param limits how much may change at once
	 * @param demand how many replicas of a model its requests need; kept within the
	 * text's bounds
	 * @return the reconciler
	 */
	public static Reconciler of(StepLimits limits, ToIntFunction<Model> demand) {
		return new Reconciler(limits, demand);
	}

	/**
	 * Chooses the steps that may begin now.
	 * @param contract the contract in force
	 * @param observed the upstreams that can be reached and do not leave
	 * @param memory what is under way and what failed
	 * @param now the ticker's reading
	 * @return the steps, the most urgent first, at most one an upstream
	 */
	public List<Step> plan(Contract contract, List<UpstreamView> observed, StepTracker memory, long now) {
		Map<String, List<UpstreamView>> byService = new HashMap<>();
		observed.forEach((view) -> byService.computeIfAbsent(view.service(), (service) -> new ArrayList<>()).add(view));
		List<Step> wanted = new ArrayList<>();
		for (Service service : contract.services()) {
			if (service.type() == ServiceType.MODEL) {
				List<UpstreamView> upstreams = byService.getOrDefault(service.name(), List.of());
				wanted.addAll(wanted(service, upstreams, memory, now));
			}
		}
		wanted.sort(Comparator.comparing(Step::priority));
		return new StepThrottle(this.limits, memory, now).choose(wanted);
	}

	private List<Step> wanted(Service service, List<UpstreamView> upstreams, StepTracker memory, long now) {
		List<Step> steps = new ArrayList<>();
		Map<String, List<UpstreamView>> holders = holders(upstreams);
		Map<String, List<Step>> loading = loading(memory);
		PlacementPool room = new PlacementPool(upstreams, this.limits, memory);
		for (Model model : service.models()) {
			new ModelPlan(model, holders.getOrDefault(model.name(), List.of()),
					loading.getOrDefault(model.name(), List.of()), room, this.limits, memory, now)
				.add(target(model), steps);
		}
		if (steps.stream().noneMatch((step) -> step.kind().isLoad())) {
			tidy(service, upstreams, steps);
		}
		return steps;
	}

	private static Map<String, List<UpstreamView>> holders(List<UpstreamView> upstreams) {
		Map<String, List<UpstreamView>> holders = new HashMap<>();
		for (UpstreamView view : upstreams) {
			for (String held : view.loaded()) {
				int at = held.indexOf('@');
				if (at >= 0) {
					holders.computeIfAbsent(held.substring(0, at), (model) -> new ArrayList<>()).add(view);
				}
			}
		}
		return holders;
	}

	private static Map<String, List<Step>> loading(StepTracker memory) {
		return memory.running()
			.stream()
			.filter((step) -> step.kind() == Step.Kind.LOAD_MODEL)
			.collect(Collectors.groupingBy(Step::model));
	}

	private int target(Model model) {
		int wanted = Math.max(model.replicas().min(), this.demand.applyAsInt(model));
		return Math.min(wanted, model.replicas().max());
	}

	// Only what no model of the service needs any more, and only when nothing is left to
	// load: an unload that came first could take the last replica.
	private static void tidy(Service service, List<UpstreamView> upstreams, List<Step> steps) {
		Set<String> needed = new HashSet<>();
		service.models().forEach((model) -> {
			needed.add(model.name());
			needed.addAll(model.adapters());
		});
		for (UpstreamView view : upstreams) {
			for (String held : view.loaded()) {
				int at = held.indexOf('@');
				String name = (at < 0) ? held : held.substring(0, at);
				if (!needed.contains(name)) {
					steps.add(new Step((at < 0) ? Step.Kind.UNLOAD_ADAPTER : Step.Kind.UNLOAD_MODEL, Step.Priority.TIDY,
							view.id(), view.failureDomain(), name, (at < 0) ? held : held.substring(at + 1)));
				}
			}
		}
	}

}
