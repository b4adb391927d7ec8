package org.ragworthook.daemon.entry;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import org.ragworthook.core.admission.AccountGate;
import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Limits;
import org.ragworthook.core.time.Ticker;

/**
 * The admission gates of all accounts at this entry. Each entry enforces an equal share
 * of an account's limits: the load balancer spreads callers evenly over the entries, and
 * a shared count would cost a call to another process for each request.
 */
final class AccountGates {

	private final Ticker ticker;

	private final IntSupplier entries;

	private final Map<String, Entry> gates = new ConcurrentHashMap<>();

	AccountGates(Ticker ticker, IntSupplier entries) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.entries = Objects.requireNonNull(entries, "entries is null");
	}

	/**
	 * Returns the gate of an account. Updates the gate first if the account's limits or
	 * the number of entries have changed.
	 * @param account the account, with its current limits
	 * @return the account's gate
	 */
	AccountGate of(Account account) {
		int share = this.entries.getAsInt();
		Entry existing = this.gates.get(account.name());
		if (existing == null || existing.share() != share || !existing.limits().equals(account.limits())) {
			existing = this.gates.compute(account.name(),
					(name, previous) -> applyLimits(previous, account.limits(), share));
		}
		return existing.gate();
	}

	private Entry applyLimits(Entry previous, Limits limits, int share) {
		AccountGate gate = (previous != null) ? previous.gate() : AccountGate.of(this.ticker);
		int inFlight = (limits.inFlight() > 0) ? Math.max(1, limits.inFlight() / share) : 0;
		gate.setLimits((double) limits.requestsPerSecond() / share, inFlight,
				(double) limits.tokensPerSecond() / share);
		return new Entry(gate, limits, share);
	}

	private record Entry(AccountGate gate, Limits limits, int share) {
	}

}
