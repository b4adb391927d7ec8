package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Limits how long a process may rely on the API keys of its configuration.
 * <p>
 * A process that is cut off from the platform does not learn that a key was revoked. It
 * therefore relies on its configuration only for a limited time after the platform has
 * confirmed that there is no newer one. That time is measured from before the confirming
 * call was sent, by the monotonic clock, and is checked whenever a request arrives. The
 * lease is renewed on use, so an idle process makes no calls. A check by one process can
 * also confirm the configuration of the others, so each process delays its own check by a
 * random time. Not thread-safe: used on the event loop.
 */
public final class ConfigurationLease {

	private static final EventLog LOG = EventLog.of(ConfigurationLease.class);

	/** Maximum number of requests that wait for a check. */
	static final int MAX_PENDING = 256;

	private final Ticker ticker;

	private final Timers timers;

	private final Executor loop;

	private final Supplier<CompletableFuture<Boolean>> check;

	private final LeaseTerms terms;

	private final RandomGenerator random;

	private final List<PendingRequest> pending = new ArrayList<>();

	private LongConsumer checkListener = (nanos) -> {
	};

	private Duration renewalAge;

	private Optional<Long> lastConfirmedNanos = Optional.empty();

	private Optional<Long> lastCheckNanos = Optional.empty();

	private boolean checking;

	private boolean failing;

	private ConfigurationLease(Ticker ticker, Timers timers, Executor loop, Supplier<CompletableFuture<Boolean>> check,
			LeaseTerms terms, RandomGenerator random) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
		this.check = Objects.requireNonNull(check, "check is null");
		this.terms = Objects.requireNonNull(terms, "terms is null");
		this.random = Objects.requireNonNull(random, "random is null");
		this.renewalAge = terms.renewalAge();
	}

	/**
	 * Returns a lease whose configuration has not been confirmed yet.
	 * @param ticker the monotonic clock
	 * @param timers schedules tasks on the event loop
	 * @param loop the event loop
	 * @param check reads the configuration from the platform, activates it, and completes
	 * with whether the active configuration was the newest one when the call was made
	 * @param terms the durations of the lease
	 * @param random spreads the checks of the processes over time
	 * @return a new lease
	 */
	public static ConfigurationLease of(Ticker ticker, Timers timers, Executor loop,
			Supplier<CompletableFuture<Boolean>> check, LeaseTerms terms, RandomGenerator random) {
		return new ConfigurationLease(ticker, timers, loop, check, terms, random);
	}

	/**
	 * Returns how long the keys may be relied on after a confirmation.
	 * @return the maximum age of a confirmation for accepting a key
	 */
	public Duration validity() {
		return this.terms.validity();
	}

	/**
	 * Returns how old a confirmation may be for rejecting an unknown key.
	 * @return the age above which the configuration is checked before a key is rejected
	 */
	public Duration maxDenialAge() {
		return this.terms.renewalAge();
	}

	/**
	 * Returns how long ago the configuration was last confirmed.
	 * @return the age, or empty if it was never confirmed
	 */
	public Optional<Duration> confirmationAge() {
		return this.lastConfirmedNanos.map((confirmed) -> Duration.ofNanos(this.ticker.nanos() - confirmed));
	}

	/**
	 * Returns whether the lease has expired and checks fail. If so, starts another check
	 * unless one was made within the retry delay.
	 * @return whether callers should be sent to other instances
	 */
	public boolean unavailable() {
		boolean unavailable = this.failing && !confirmedWithin(this.terms.validity());
		if (unavailable) {
			startCheck();
		}
		return unavailable;
	}

	/**
	 * Reports whether the configuration was confirmed recently enough, after a check if
	 * it was not.
	 * @param maxAge the maximum age of the confirmation
	 * @param outcome receives whether there is a confirmation of at most that age; called
	 * immediately if there is one, if checks fail or if too many requests already wait
	 */
	public void awaitConfirmation(Duration maxAge, Consumer<Boolean> outcome) {
		if (confirmedWithin(maxAge)) {
			if (!confirmedWithin(this.renewalAge)) {
				startCheck();
			}
			outcome.accept(true);
		}
		else if (this.failing || this.pending.size() >= MAX_PENDING) {
			startCheck();
			outcome.accept(false);
		}
		else {
			PendingRequest request = new PendingRequest(maxAge, outcome);
			this.pending.add(request);
			request.timer = Optional.of(this.timers.schedule(this.terms.maxWait(), () -> complete(request, false)));
			startCheck();
		}
	}

	private boolean confirmedWithin(Duration maxAge) {
		return confirmationAge().filter((age) -> age.compareTo(maxAge) <= 0).isPresent();
	}

	private void startCheck() {
		long now = this.ticker.nanos();
		boolean backingOff = this.failing
				&& this.lastCheckNanos.filter((last) -> now - last < this.terms.retryDelay().toNanos()).isPresent();
		if (this.checking || backingOff) {
			return;
		}
		this.checking = true;
		this.lastCheckNanos = Optional.of(now);
		this.check.get().whenCompleteAsync((newest, failure) -> {
			this.checking = false;
			if (failure == null && newest) {
				checkSucceeded(now);
			}
			else {
				checkFailed(failure);
			}
		}, this.loop);
	}

	private void checkSucceeded(long sentNanos) {
		if (this.failing) {
			LOG.info("configuration_confirmed", "ms", (this.ticker.nanos() - sentNanos) / 1_000_000);
		}
		this.failing = false;
		recordConfirmation(sentNanos);
		this.checkListener.accept(sentNanos);
	}

	/**
	 * Called when the active configuration is known to have been the newest one at some
	 * time.
	 * @param nanos that time, as a reading of this process's ticker in nanoseconds
	 */
	public void recordConfirmation(long nanos) {
		if (this.lastConfirmedNanos.filter((previous) -> previous - nanos >= 0).isEmpty()) {
			this.lastConfirmedNanos = Optional.of(nanos);
			this.renewalAge = this.terms.renewalAge(this.random.nextDouble());
		}
		List.copyOf(this.pending).forEach((request) -> {
			if (confirmedWithin(request.maxAge)) {
				complete(request, true);
			}
		});
	}

	/**
	 * Sets the listener for successful checks of this process.
	 * @param listener receives the ticker reading in nanoseconds from before the check
	 * was sent
	 */
	public void onCheckSucceeded(LongConsumer listener) {
		this.checkListener = Objects.requireNonNull(listener, "listener is null");
	}

	private void checkFailed(Throwable failure) {
		if (!this.failing) {
			LOG.warning("configuration_not_confirmed", "age_ms", confirmationAge().map(Duration::toMillis).orElse(-1L),
					"error",
					(failure != null) ? Failures.root(failure) : "the active configuration is not the newest one");
		}
		this.failing = true;
		List.copyOf(this.pending).forEach((request) -> complete(request, false));
	}

	private void complete(PendingRequest request, boolean confirmed) {
		if (this.pending.remove(request)) {
			request.timer.ifPresent(Timers.Timer::cancel);
			request.outcome.accept(confirmed);
		}
	}

	/** A request that waits for a check. */
	private static final class PendingRequest {

		private final Duration maxAge;

		private final Consumer<Boolean> outcome;

		private Optional<Timers.Timer> timer = Optional.empty();

		PendingRequest(Duration maxAge, Consumer<Boolean> outcome) {
			this.maxAge = maxAge;
			this.outcome = outcome;
		}

	}

}
