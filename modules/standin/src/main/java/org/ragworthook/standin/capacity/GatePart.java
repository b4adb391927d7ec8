package org.ragworthook.standin.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.ragworthook.core.admission.AccountGate;
import org.ragworthook.core.time.Ticker;

/**
 * The limits that an entry holds the accounts to.
 */
final class GatePart implements Part {

	private static final int REQUESTS = 100_000;

	private static final double NANOS_PER_MILLI = 1e6;

	@Override
	public String name() {
		return "account-gates";
	}

	@Override
	public String counted() {
		return "accounts";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(600, 6_000, 12_000);
	}

	@Override
	public List<Quantity> measure(int size) {
		double heap = Gauge.heapKb(() -> gates(size));
		Map<String, AccountGate> gates = gates(size);
		AccountGate gate = gates.get("account-0");
		double admit = Gauge.cpuMillis(() -> admit(gate));
		return List.of(new Quantity("heap, KB", heap),
				new Quantity("processor time of a request, ns", admit * NANOS_PER_MILLI / REQUESTS));
	}

	private static Map<String, AccountGate> gates(int count) {
		Map<String, AccountGate> gates = new HashMap<>();
		IntStream.range(0, count).forEach((number) -> {
			AccountGate gate = AccountGate.of(Ticker.system());
			gate.setLimits(20, 50, 1_000);
			gates.put("account-" + number, gate);
		});
		return gates;
	}

	private static void admit(AccountGate gate) {
		for (int i = 0; i < REQUESTS; i++) {
			if (gate.admit().isEmpty()) {
				gate.release(0);
			}
		}
	}

}
