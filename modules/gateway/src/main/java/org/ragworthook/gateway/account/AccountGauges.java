package org.ragworthook.gateway.account;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToDoubleFunction;

import org.ragworthook.gateway.metrics.GatewayMetrics;

/**
 * Gauges of the accounts with the most slots in use and requests waiting, over all
 * processes as far as this one knows, and of the requests that this process has refused.
 */
public final class AccountGauges {

	private final AccountLoads loads;

	private AccountGauges(AccountLoads loads) {
		this.loads = Objects.requireNonNull(loads, "loads is null");
	}

	/**
	 * Registers the gauges. They have no values while there are no accounts.
	 * @param loads the requests and items of accounts
	 * @param metrics the metrics of the process
	 */
	public static void register(AccountLoads loads, GatewayMetrics metrics) {
		AccountGauges gauges = new AccountGauges(loads);
		metrics.gauges("account.slots", "account", () -> gauges.values((counts) -> counts.online() + counts.batch()));
		metrics.gauges("account.waiting", "account", () -> gauges.values(AccountCounts::waiting));
		metrics.gauges("account.refused", "account", gauges::refusals);
	}

	private Map<String, Double> values(ToDoubleFunction<AccountCounts> value) {
		Map<Integer, AccountCounts> all = this.loads.allCounts();
		Map<String, Double> values = new LinkedHashMap<>();
		largest(all).forEach((tag) -> values.put(this.loads.name(tag),
				value.applyAsDouble(all.getOrDefault(tag, AccountCounts.NONE))));
		return values;
	}

	private Map<String, Double> refusals() {
		Map<String, Double> values = new LinkedHashMap<>();
		largest(this.loads.allCounts())
			.forEach((tag) -> values.put(this.loads.name(tag), (double) this.loads.refused(tag)));
		return values;
	}

	private List<Integer> largest(Map<Integer, AccountCounts> all) {
		if (!this.loads.active()) {
			return List.of();
		}
		return this.loads.tags()
			.stream()
			.sorted(Comparator.<Integer>comparingInt((tag) -> -all.getOrDefault(tag, AccountCounts.NONE).total())
				.thenComparing(Comparator.<Integer>comparingLong(this.loads::refused).reversed()))
			.limit(AccountLoads.MAX_REPORTED)
			.toList();
	}

}
