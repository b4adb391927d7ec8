package org.ragworthook.standin.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Model;
import org.ragworthook.core.contract.WeightStore;
import org.ragworthook.core.reconcile.Reconciler;
import org.ragworthook.core.reconcile.Step;
import org.ragworthook.core.reconcile.StepLimits;
import org.ragworthook.core.reconcile.StepTracker;
import org.ragworthook.core.reconcile.UpstreamView;

/**
 * How many replicas move by the threshold, while demand wavers and upstreams restart with
 * nothing loaded. Every threshold meets the same demand and the same restarts.
 */
final class MoveBench implements Runnable {

	private static final int UPSTREAMS = 300;

	private static final int MODELS = 30;

	private static final int ROUNDS = 2_000;

	private static final long SEED = 1;

	private static final long ROUND_NANOS = Duration.ofSeconds(10).toNanos();

	private static final double RESTARTS_PER_ROUND = 0.1;

	@Override
	public void run() {
		System.out.println("Moves by threshold: " + UPSTREAMS + " upstreams, " + MODELS + " models, " + ROUNDS
				+ " rounds of 10 s, seed " + SEED);
		System.out.println("| threshold | loads | unloads | replica-rounds short of demand | replica-rounds over it |");
		System.out.println("| ---: | ---: | ---: | ---: | ---: |");
		for (int threshold : new int[] { 0, 1, 2, 4 }) {
			System.out.println(new Run(threshold).result());
		}
		System.out.println();
	}

	/**
	 * One run over all rounds.
	 */
	private static final class Run {

		private final Random random = new Random(SEED);

		private final Map<String, UpstreamView> fleet = new TreeMap<>();

		private final StepTracker memory = StepTracker.empty();

		private final Contract contract = Contract.parse(1, Texts.of(1, MODELS, UPSTREAMS, 3, 18));

		private final int[] demand = new int[MODELS];

		private final int threshold;

		private int loads;

		private int unloads;

		private long shortOf;

		private long over;

		private Run(int threshold) {
			this.threshold = threshold;
			for (int index = 0; index < UPSTREAMS; index++) {
				empty("u" + index, "abc".substring(index % 3, index % 3 + 1));
			}
		}

		private void empty(String id, String domain) {
			this.fleet.put(id, new UpstreamView(id, Texts.SERVICE, domain, Set.of()));
		}

		private String result() {
			Reconciler reconciler = Reconciler
				.of(StepLimits.of(new WeightStore(600, 60)).withRebalanceThreshold(this.threshold), this::demand);
			for (int round = 0; round < ROUNDS; round++) {
				change(round);
				List<Step> steps = reconciler.plan(this.contract, new ArrayList<>(this.fleet.values()), this.memory,
						round * ROUND_NANOS);
				steps.forEach(this::carryOut);
				count();
			}
			return "| " + this.threshold + " | " + this.loads + " | " + this.unloads + " | " + this.shortOf + " | "
					+ this.over + " |";
		}

		private int demand(Model model) {
			return this.demand[Integer.parseInt(model.name().substring(1))];
		}

		private void change(int round) {
			for (int model = 0; model < MODELS; model++) {
				double slow = 8 + 4 * Math.sin(2 * Math.PI * (round / 700.0 + model / (double) MODELS));
				this.demand[model] = (int) Math.round(slow + this.random.nextGaussian());
			}
			if (this.random.nextDouble() < RESTARTS_PER_ROUND) {
				String id = "u" + this.random.nextInt(UPSTREAMS);
				empty(id, this.fleet.get(id).failureDomain());
			}
		}

		private void carryOut(Step step) {
			UpstreamView view = this.fleet.get(step.upstream());
			Set<String> loaded = new HashSet<>(view.loaded());
			if (step.kind().isLoad()) {
				loaded.add(step.subject());
				this.loads++;
			}
			else {
				loaded.remove(step.subject());
				this.unloads++;
			}
			this.fleet.put(view.id(), new UpstreamView(view.id(), view.service(), view.failureDomain(), loaded));
		}

		private void count() {
			int[] replicas = new int[MODELS];
			this.fleet.values()
				.forEach((view) -> view.loaded()
					.forEach((held) -> replicas[Integer.parseInt(held.substring(1, held.indexOf('@')))]++));
			for (int model = 0; model < MODELS; model++) {
				int wanted = Math.min(18, Math.max(3, this.demand[model]));
				this.shortOf += Math.max(0, wanted - replicas[model]);
				this.over += Math.max(0, replicas[model] - wanted);
			}
		}

	}

}
