package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The token that one request has taken from its account's quota. Committed when the
 * request is first sent to an upstream, and released if it never is. Not thread-safe:
 * used on the event loop.
 */
public final class QuotaReservation {

	private final Runnable onCommit;

	private final Runnable onRelease;

	private boolean settled;

	private QuotaReservation(Runnable onCommit, Runnable onRelease) {
		this.onCommit = onCommit;
		this.onRelease = onRelease;
	}

	/**
	 * Returns a reservation for a request that belongs to no account.
	 * @return a reservation of no quota
	 */
	public static QuotaReservation unlimited() {
		return new QuotaReservation(() -> {
		}, () -> {
		});
	}

	/**
	 * Takes a token for a request from its account's quota.
	 * @param ledger the quotas
	 * @param account the account of the request
	 * @return the reservation, or the time after which to retry
	 */
	public static Outcome reserve(QuotaLedger ledger, ClientAccount account) {
		Objects.requireNonNull(ledger, "ledger is null");
		Optional<Duration> retryAfter = ledger.tryAcquire(Objects.requireNonNull(account, "account is null"));
		return new Outcome(new QuotaReservation(() -> ledger.recordSent(account), () -> ledger.release(account)),
				retryAfter);
	}

	/**
	 * Commits the reservation; called when the request is sent to an upstream. Has no
	 * effect after the first call to this method or {@link #release()}.
	 */
	public void commit() {
		settle(this.onCommit);
	}

	/**
	 * Releases the reservation; called when the request has ended. Returns the token
	 * unless the reservation was committed.
	 */
	public void release() {
		settle(this.onRelease);
	}

	private void settle(Runnable task) {
		if (!this.settled) {
			this.settled = true;
			task.run();
		}
	}

	/**
	 * The outcome of reserving quota for a request.
	 *
	 * @param reservation the reservation, to be used only if the request is admitted
	 * @param retryAfter empty if the request is admitted, else the time after which to
	 * retry
	 */
	public record Outcome(QuotaReservation reservation, Optional<Duration> retryAfter) {
	}

}
