package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * One request's part of the quota of its account. It is used up when the request is sent
 * to an upstream for the first time, and given back if it never is. Used on the event
 * loop.
 */
public final class QuotaReservation {

	private final Runnable onSent;

	private final Runnable onUnsent;

	private boolean settled;

	private QuotaReservation(Runnable onSent, Runnable onUnsent) {
		this.onSent = onSent;
		this.onUnsent = onUnsent;
	}

	/**
	 * Returns the part of a request that belongs to no account.
	 * @return a part of no quota
	 */
	public static QuotaReservation unlimited() {
		return new QuotaReservation(() -> {
		}, () -> {
		});
	}

	/**
	 * Asks for a request to be let in.
	 * @param ledger the quotas
	 * @param account whose request it is
	 * @return the request's part, or after which time there is room for one
	 */
	public static Outcome reserve(QuotaLedger ledger, ClientAccount account) {
		Objects.requireNonNull(ledger, "ledger is null");
		Optional<Duration> wait = ledger.tryAcquire(Objects.requireNonNull(account, "account is null"));
		return new Outcome(new QuotaReservation(() -> ledger.recordSent(account), () -> ledger.release(account)), wait);
	}

	/**
	 * Learns that the request is sent to an upstream.
	 */
	public void commit() {
		settle(this.onSent);
	}

	/**
	 * Learns that the request has ended.
	 */
	public void release() {
		settle(this.onUnsent);
	}

	private void settle(Runnable task) {
		if (!this.settled) {
			this.settled = true;
			task.run();
		}
	}

	/**
	 * Whether a request is within its quota.
	 *
	 * @param reservation the request's part, to be used only if it is let in
	 * @param retryAfter empty if it is let in, else after which time there is room
	 */
	public record Outcome(QuotaReservation reservation, Optional<Duration> retryAfter) {
	}

}
