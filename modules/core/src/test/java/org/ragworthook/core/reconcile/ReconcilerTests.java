package org.ragworthook.core.reconcile;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Model;
import org.ragworthook.core.contract.WeightStore;

import static com.google.common.truth.Truth.assertThat;

class ReconcilerTests {

	private static final Duration ROUND = Duration.ofSeconds(10);

	private final Reconciler reconciler = Reconciler.of(StepLimits.of(new WeightStore(600, 4)), (model) -> 0);

	private static Contract contract(String version, int min, int max, int domains) {
		return Contract.parse(1, """
				{"name": "t", "regions": [{"name": "r", "failureDomains": ["a", "b", "c"]}],
				 "services": [{"name": "desk", "failureDomains": ["a", "b", "c"], "upstreams": 100,
				 "models": [{"name": "m", "version": "%s", "adapters": ["cut"],
				 "replicas": {"min": %d, "max": %d, "failureDomains": %d}}]}]}
				""".formatted(version, min, max, domains));
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 2", "6, 3", "9, 3" })
	void shouldLoadAndSpreadReplicasOfContract(int min, int domains) {
		FakeFleet fleet = new FakeFleet().add("a", 5).add("b", 5).add("c", 5);
		int rounds = fleet.settle(this.reconciler, contract("1", min, 12, domains), 50);
		assertThat(rounds).isLessThan(50);
		assertThat(fleet.holders("m@1").values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(min);
		assertThat(fleet.holders("m@1").size()).isAtLeast(domains);
		assertThat(fleet.holders("cut")).isEqualTo(fleet.holders("m@1"));
	}

	@Test
	void shouldRestoreReplicasBeforeAnythingElse() {
		FakeFleet fleet = new FakeFleet().add("a", 3, "m@0", "stray@1").add("b", 3).add("c", 3);
		List<Step> steps = fleet.plan(this.reconciler, contract("1", 6, 8, 3));
		assertThat(steps.get(0).priority()).isEqualTo(Step.Priority.RESTORE);
		assertThat(steps.stream().map(Step::priority).toList()).isInOrder();
		assertThat(steps.stream().map(Step::kind).toList()).doesNotContain(Step.Kind.UNLOAD_MODEL);
		fleet.settle(this.reconciler, contract("1", 6, 8, 3), 50);
		assertThat(fleet.holders("stray@1")).isEmpty();
	}

	@Test
	void shouldReplaceOneReplicaAtATimeDuringRollOut() {
		FakeFleet fleet = new FakeFleet().add("a", 3, "m@1", "cut").add("b", 3, "m@1", "cut");
		Contract next = contract("2", 6, 6, 2);
		for (int round = 0; round < 30; round++) {
			List<Step> steps = fleet.round(this.reconciler, next, ROUND);
			assertThat(steps.size()).isAtMost(1);
		}
		assertThat(fleet.holders("m@2")).containsExactly("a", 3, "b", 3);
		assertThat(fleet.executed().stream().filter((step) -> !step.kind().isLoad()).toList()).isEmpty();
	}

	// The weights of the new version are corrupt, so every load fails. Without tracking
	// failures, the roll-out would take one upstream after another out of service. It
	// must stop after a few, roll back the upstreams that succeeded, and report the
	// error.
	@Test
	void shouldStopAndRollBackFailingRollOut() {
		FakeFleet fleet = new FakeFleet().add("a", 5, "m@1", "cut").add("b", 5, "m@1", "cut");
		Contract next = contract("2", 10, 10, 2);
		fleet.round(this.reconciler, next, ROUND);
		assertThat(fleet.holders("m@2")).containsExactly("a", 1);
		fleet.failing((step) -> step.subject().equals("m@2"));
		for (int round = 0; round < 6; round++) {
			fleet.round(this.reconciler, next, ROUND);
		}
		assertThat(fleet.holders("m@1")).containsExactly("a", 5, "b", 5);
		assertThat(fleet.tracker().failures().stream().map(StepFailure::upstream).toList()).contains("");
		assertThat(fleet.tracker().failures().stream().map(StepFailure::detail).toList()).contains("out of memory");
	}

	// One upstream can never load the model. Retries must become rarer, or they would
	// use up the weight store's rate.
	@Test
	void shouldBackOffFromLoadThatKeepsFailing() {
		FakeFleet fleet = new FakeFleet().add("a", 1);
		fleet.failing((step) -> true);
		int attempts = 0;
		for (int round = 0; round < 60; round++) {
			attempts += fleet.round(this.reconciler, contract("1", 1, 1, 1), ROUND).size();
		}
		assertThat(attempts).isAtLeast(4);
		assertThat(attempts).isAtMost(9);
		assertThat(fleet.tracker().failures().get(0).count()).isEqualTo(attempts);
	}

	// The weight store serves only few loads per minute. Above that rate it answers 429
	// to every upstream, including one that has to recover immediately.
	@Test
	void shouldRespectLoadRateOfWeightStore() {
		Reconciler throttled = Reconciler.of(StepLimits.of(new WeightStore(6, 2)), (model) -> 0);
		FakeFleet fleet = new FakeFleet().add("a", 20).add("b", 20).add("c", 20);
		int started = 0;
		for (int round = 0; round < 12; round++) {
			List<Step> steps = fleet.round(throttled, contract("1", 40, 60, 3), Duration.ofSeconds(5));
			assertThat(steps.size()).isAtMost(2);
			started += steps.size();
		}
		assertThat(started).isEqualTo(6);
	}

	// A failure domain is lost during a roll-out. Its replicas must be restored
	// elsewhere before the roll-out continues, and no step may stay running on lost
	// upstreams.
	@Test
	void shouldRestoreReplicasWhenFailureDomainIsLostDuringRollOut() {
		FakeFleet fleet = new FakeFleet().add("a", 6, "m@1", "cut").add("b", 6, "m@1", "cut").add("c", 12);
		Contract next = contract("2", 12, 14, 2);
		fleet.round(this.reconciler, next, ROUND);
		fleet.loseDomain("b");
		List<Step> steps = fleet.plan(this.reconciler, next);
		assertThat(steps.get(0).priority()).isEqualTo(Step.Priority.RESTORE);
		fleet.settle(this.reconciler, next, 60);
		assertThat(fleet.holders("m@2").get("a") + fleet.holders("m@2").get("c")).isAtLeast(12);
		assertThat(fleet.holders("m@1")).isEmpty();
		assertThat(fleet.tracker().running()).isEmpty();
	}

	@Test
	void shouldGrowWithDemandWithinContractBounds() {
		FakeFleet fleet = new FakeFleet().add("a", 10).add("b", 10);
		Reconciler demanding = Reconciler.of(StepLimits.of(new WeightStore(600, 4)), (model) -> 50);
		fleet.settle(demanding, contract("1", 2, 8, 2), 50);
		assertThat(fleet.holders("m@1")).containsExactly("a", 4, "b", 4);
		fleet.settle(this.reconciler, contract("1", 2, 8, 2), 50);
		int threshold = StepLimits.of(WeightStore.standard()).rebalanceThreshold();
		assertThat(fleet.holders("m@1").values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(2 + threshold);
	}

	@Test
	void shouldDemandMoreReplicasWhenUpstreamsAreNearlyFull() {
		List<UpstreamView> observed = List.of(new UpstreamView("u1", "desk", "a", Set.of("m@1", "cut")),
				new UpstreamView("u2", "desk", "b", Set.of("m@1")), new UpstreamView("u3", "desk", "b", Set.of()));
		Model model = contract("1", 1, 9, 1).services().get(0).models().get(0);
		assertThat(Demand.of(observed, Map.of()).applyAsInt(model)).isEqualTo(2);
		Map<String, UpstreamUsage> lowUsage = Map.of("u1", new UpstreamUsage(1, 10), "u2", new UpstreamUsage(0, 10));
		assertThat(Demand.of(observed, lowUsage).applyAsInt(model)).isEqualTo(2);
		Map<String, UpstreamUsage> highUsage = Map.of("u1", new UpstreamUsage(20, 10), "u2", new UpstreamUsage(8, 10));
		assertThat(Demand.of(observed, highUsage).applyAsInt(model)).isEqualTo(4);
	}

}
