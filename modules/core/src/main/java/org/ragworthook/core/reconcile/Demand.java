package org.ragworthook.core.reconcile;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

import org.ragworthook.core.contract.Model;

/**
 * How many replicas of a model its online requests need. It asks for more when those that
 * hold the model are nearly full, and never for fewer: a replica that nobody needs costs
 * nothing until another model wants its room, while unloading one too many costs a load
 * from the weight store when the next burst comes.
 */
public final class Demand implements ToIntFunction<Model> {

	private static final double FULL = 0.7;

	private final Map<String, Sum> byModel = new HashMap<>();

	private Demand() {
	}

	/**
	 * Adds up what is reported.
	 * @param observed the upstreams
	 * @param usage what each reported, by upstream; one that reported nothing counts as
	 * idle
	 * @return the demand of each model
	 */
	public static Demand of(List<UpstreamView> observed, Map<String, UpstreamUsage> usage) {
		Demand demand = new Demand();
		for (UpstreamView view : observed) {
			UpstreamUsage own = usage.getOrDefault(view.id(), new UpstreamUsage(0, 0));
			for (String held : view.loaded()) {
				int at = held.indexOf('@');
				if (at >= 0) {
					demand.byModel.merge(held.substring(0, at), new Sum(1, own.busy(), own.limit()), Sum::plus);
				}
			}
		}
		return demand;
	}

	@Override
	public int applyAsInt(Model model) {
		Sum sum = this.byModel.getOrDefault(model.name(), new Sum(0, 0, 0));
		if (sum.limit() == 0) {
			return sum.replicas();
		}
		double perReplica = FULL * sum.limit() / sum.replicas();
		return Math.max(sum.replicas(), (int) Math.ceil(sum.busy() / perReplica));
	}

	private record Sum(int replicas, int busy, int limit) {

		Sum plus(Sum other) {
			return new Sum(this.replicas + other.replicas, this.busy + other.busy, this.limit + other.limit);
		}

	}

}
