package org.ragworthook.standin.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.WeightStore;
import org.ragworthook.core.reconcile.Reconciler;
import org.ragworthook.core.reconcile.StepLimits;
import org.ragworthook.core.reconcile.StepTracker;
import org.ragworthook.core.reconcile.UpstreamView;

/**
 * How long one round of reconciliation takes by the number of upstreams.
 */
final class PlanBench implements Runnable {

	private static final int MODELS = 30;

	private static final int SAMPLES = 40;

	private static final String[] DOMAINS = { "a", "b", "c" };

	@Override
	public void run() {
		System.out
			.println("A round of reconciliation, " + MODELS + " models: time in ms, median / longest of " + SAMPLES);
		System.out.println("| upstreams | at rest | all empty | a failure domain lost | every version outdated |");
		System.out.println("| ---: | ---: | ---: | ---: | ---: |");
		for (int upstreams : new int[] { 90, 1_300, 11_000 }) {
			row(upstreams);
		}
		System.out.println();
	}

	private static void row(int upstreams) {
		int replicas = upstreams / MODELS;
		Contract contract = Contract.parse(1, Texts.of(10, MODELS, upstreams, replicas, replicas + 10));
		List<UpstreamView> whole = fleet(upstreams, "1");
		List<UpstreamView> lost = whole.stream().filter((view) -> !view.failureDomain().equals("a")).toList();
		System.out
			.println("| " + upstreams + " | " + plan(contract, whole) + " | " + plan(contract, fleet(upstreams, ""))
					+ " | " + plan(contract, lost) + " | " + plan(contract, fleet(upstreams, "0")) + " |");
	}

	private static List<UpstreamView> fleet(int upstreams, String version) {
		List<UpstreamView> views = new ArrayList<>();
		for (int index = 0; index < upstreams; index++) {
			String domain = DOMAINS[(index / MODELS) % DOMAINS.length];
			Set<String> loaded = version.isEmpty() ? Set.of() : Set.of("m" + index % MODELS + "@" + version);
			views.add(new UpstreamView("u" + index, Texts.SERVICE, domain, loaded));
		}
		return views;
	}

	private static Samples plan(Contract contract, List<UpstreamView> fleet) {
		Reconciler reconciler = Reconciler.of(StepLimits.of(WeightStore.standard()), (model) -> 0);
		return Samples.of(SAMPLES, () -> reconciler.plan(contract, fleet, StepTracker.empty(), 0));
	}

}
