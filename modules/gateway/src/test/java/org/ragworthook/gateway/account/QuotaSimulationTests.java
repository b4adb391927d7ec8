package org.ragworthook.gateway.account;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests how many requests within the quota are refused, and by how much an account can
 * exceed its limit, across all entries.
 */
class QuotaSimulationTests {

	private static final int SEEDS = 2;

	private static final int SECONDS = 16;

	private static List<QuotaSimulation.Scenario> connected(double... demands) {
		List<QuotaSimulation.Scenario> all = new ArrayList<>();
		for (int entries : new int[] { 6, 24, 100 }) {
			for (double demand : demands) {
				for (QuotaSimulation.Balancer balancer : List.<QuotaSimulation.Balancer>of(
						QuotaSimulation.Balancer::uniform, QuotaSimulation.Balancer::skewed,
						QuotaSimulation.Balancer::single, QuotaSimulation.Balancer::shifting)) {
					all.add(QuotaSimulation.Scenario.of(QuotaSimulation.Strategy.REPORTED_USE, entries, balancer,
							demand));
				}
			}
		}
		return all;
	}

	static List<QuotaSimulation.Scenario> withinTheQuota() {
		return connected(1);
	}

	static List<QuotaSimulation.Scenario> restartedFleets() {
		return connected(1).stream().map(QuotaSimulation.Scenario::withFleetRestart).toList();
	}

	static List<QuotaSimulation.Scenario> beyondTheQuota() {
		List<QuotaSimulation.Scenario> all = connected(2, 7.5, 20);
		List.copyOf(all).forEach((scenario) -> {
			all.add(scenario.withQuota(2, 3));
			all.add(scenario.withFaults(0.3, 0, 0, false));
			all.add(scenario.withFaults(0.01, 0.35, 0, false));
			all.add(scenario.withFaults(0.01, 0.5, 0, false));
			all.add(scenario.withFaults(0.01, 0, 500, false));
			all.add(scenario.withFleetRestart());
		});
		return all;
	}

	static List<QuotaSimulation.Scenario> loweredQuotas() {
		return connected(2, 7.5).stream().map((scenario) -> scenario.withFaults(0.01, 0, 0, true)).toList();
	}

	/** Guards against refusing accounts that stay within their quota. */
	@ParameterizedTest
	@MethodSource("withinTheQuota")
	void shouldRarelyRefuseRequestsWithinTheQuota(QuotaSimulation.Scenario scenario) {
		int requests = 0;
		int refused = 0;
		for (int seed = 0; seed < 4 * SEEDS; seed++) {
			QuotaSimulation.Result result = new QuotaSimulation(scenario, seed).run(SECONDS);
			requests += result.requests();
			refused += result.refusedWithinQuota();
		}
		int perThousand = (scenario.entries() > 24) ? 10 : 5;
		assertWithMessage("refused out of %s requests", requests).that(refused)
			.isAtMost(requests * perThousand / 1_000);
	}

	/**
	 * Guards against refusing callers that return together after all entries were down,
	 * when no entry has received a report yet: few more are refused twice than at a
	 * single entry that sees all requests.
	 */
	@ParameterizedTest
	@MethodSource("restartedFleets")
	void shouldRarelyRefuseReturningCallersAfterAFleetRestart(QuotaSimulation.Scenario scenario) {
		QuotaSimulation.Scenario single = QuotaSimulation.Scenario
			.of(QuotaSimulation.Strategy.REPORTED_USE, 1, QuotaSimulation.Balancer::uniform, scenario.demand())
			.withFleetRestart();
		int requests = 0;
		int refusedTwice = 0;
		int refusedTwiceAtOneEntry = 0;
		for (int seed = 0; seed < 2 * SEEDS; seed++) {
			QuotaSimulation.Result result = new QuotaSimulation(scenario, seed).run(SECONDS);
			requests += result.requests();
			refusedTwice += result.refusedTwice();
			refusedTwiceAtOneEntry += new QuotaSimulation(single, seed).run(SECONDS).refusedTwice();
		}
		assertWithMessage("refused twice out of %s requests, %s at a single entry", requests, refusedTwiceAtOneEntry)
			.that(refusedTwice - refusedTwiceAtOneEntry)
			.isAtMost(requests * ((scenario.entries() > 24) ? 5 : 3) / 100);
	}

	/**
	 * Guards against an account that exceeds its limit by using many entries, some of
	 * them cut off or restarting.
	 */
	@ParameterizedTest
	@MethodSource("beyondTheQuota")
	void shouldEnforceTheLimitInEachWindow(QuotaSimulation.Scenario scenario) {
		for (int seed = 0; seed < SEEDS; seed++) {
			QuotaSimulation.Result result = new QuotaSimulation(scenario, seed).run(SECONDS);
			assertWithMessage("%s", result).that(result.maxInWindow()).isAtMost((int) scenario.allowedInWindow());
		}
	}

	/** Guards against entries that apply a lowered limit late. */
	@ParameterizedTest
	@MethodSource("loweredQuotas")
	void shouldEnforceALoweredLimit(QuotaSimulation.Scenario scenario) {
		QuotaSimulation simulation = new QuotaSimulation(scenario, 0);
		simulation.run(SECONDS);
		double allowed = (scenario.perSecond() / 2 * QuotaSimulation.WINDOW_MILLIS / 1_000 + scenario.burst() / 2) * 1.1
				+ 20;
		assertWithMessage("%s", scenario).that(simulation.maxInWindowSince(10_000 + QuotaSimulation.WINDOW_MILLIS))
			.isAtMost((int) allowed);
	}

}
