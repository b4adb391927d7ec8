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
 * The gates of all accounts at this entry. Each entry grants its share of an account's
 * limits, since the balancer before the entries spreads callers evenly and counting
 * together would take a call to another process for each request.
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
	 * Returns the gate of an account with the limits now in force.
	 * @param account the account
	 * @return its gate
	 */
	AccountGate of(Account account) {
		int share = this.entries.getAsInt();
		Entry known = this.gates.get(account.name());
		if (known == null || known.share() != share || !known.limits().equals(account.limits())) {
			known = this.gates.compute(account.name(), (name, old) -> limited(old, account.limits(), share));
		}
		return known.gate();
	}

	private Entry limited(Entry old, Limits limits, int share) {
		AccountGate gate = (old != null) ? old.gate() : AccountGate.of(this.ticker);
		int inFlight = (limits.inFlight() > 0) ? Math.max(1, limits.inFlight() / share) : 0;
		gate.setLimits((double) limits.requestsPerSecond() / share, inFlight,
				(double) limits.tokensPerSecond() / share);
		return new Entry(gate, limits, share);
	}

	private record Entry(AccountGate gate, Limits limits, int share) {
	}

}
