package org.ragworthook.core.reconcile;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.ragworthook.core.contract.Model;

/**
 * Estimates how many replicas of a model its online requests need. The estimate exceeds
 * the current number of replicas when the upstreams with the model are nearly at their
 * limit, and is never below it: an unused replica costs nothing until another model needs
 * its place, while an unloaded one has to be loaded from the weight store again for the
 * next burst.
 */
public final class Demand implements ToIntFunction<Model> {

	private static final double TARGET_UTILIZATION = 0.7;

	private final Map<String, Totals> byModel = new HashMap<>();

	private Demand() {
	}

	/**
	 * Aggregates the reported usage by model.
	 * @param observed the upstreams
	 * @param usage the reported usage by upstream id; an upstream without a report counts
	 * as idle
	 * @return the demand of all models
	 */
	public static Demand of(List<UpstreamView> observed, Map<String, UpstreamUsage> usage) {
		Demand demand = new Demand();
		for (UpstreamView view : observed) {
			UpstreamUsage reported = usage.getOrDefault(view.id(), new UpstreamUsage(0, 0));
			for (String subject : view.loaded()) {
				int separator = subject.indexOf('@');
				if (separator >= 0) {
					demand.byModel.merge(subject.substring(0, separator),
							new Totals(1, reported.busy(), reported.limit()), Totals::plus);
				}
			}
		}
		return demand;
	}

	@Override
	public int applyAsInt(Model model) {
		Totals totals = this.byModel.getOrDefault(model.name(), new Totals(0, 0, 0));
		if (totals.limit() == 0) {
			return totals.replicas();
		}
		double capacityPerReplica = TARGET_UTILIZATION * totals.limit() / totals.replicas();
		return Math.max(totals.replicas(), (int) Math.ceil(totals.busy() / capacityPerReplica));
	}

	private record Totals(int replicas, int busy, int limit) {

		Totals plus(Totals other) {
			return new Totals(this.replicas + other.replicas, this.busy + other.busy, this.limit + other.limit);
		}

	}

}
