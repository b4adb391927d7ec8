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
 * The right of a process to rely on the keys of the configuration that it knows.
 * <p>
 * A process that is cut off from the platform does not learn that a key was revoked. So
 * it relies on its configuration only for a time after the platform has confirmed that
 * there is no newer one. That time counts from before the confirming call was sent, by
 * the monotonic clock, and is looked at when a request arrives. Renewed when it is used;
 * an idle process makes no calls. A check of one process can confirm the others, so each
 * waits a random while longer for one of theirs. Used on the event loop.
 */
public final class ConfigurationLease {

	private static final EventLog LOG = EventLog.of(ConfigurationLease.class);

	/** Requests that wait for one check at most. */
	static final int MAX_WAITING = 256;

	private final Ticker ticker;

	private final Timers timers;

	private final Executor loop;

	private final Supplier<CompletableFuture<Boolean>> check;

	private final LeaseTerms terms;

	private final RandomGenerator random;

	private final List<Waiting> waiting = new ArrayList<>();

	private LongConsumer listener = (nanos) -> {
	};

	private Duration renewal;

	private Optional<Long> confirmedNanos = Optional.empty();

	private Optional<Long> checkedNanos = Optional.empty();

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
		this.renewal = terms.renewalAge();
	}

	/**
	 * Returns a lease that is not held yet.
	 * @param ticker the monotonic clock
	 * @param timers runs tasks later, on the event loop
	 * @param loop the event loop
	 * @param check reads the configuration from the platform, puts it in force, and tells
	 * whether the one in force was the newest when the call was made
	 * @param terms how the lease is kept
	 * @param random spreads the checks of the processes
	 * @return a new lease
	 */
	public static ConfigurationLease of(Ticker ticker, Timers timers, Executor loop,
			Supplier<CompletableFuture<Boolean>> check, LeaseTerms terms, RandomGenerator random) {
		return new ConfigurationLease(ticker, timers, loop, check, terms, random);
	}

	/**
	 * Returns how long the keys may be relied on after a confirmation.
	 * @return the validity
	 */
	public Duration validity() {
		return this.terms.validity();
	}

	/**
	 * Returns how old a confirmation may be for a key that is not known to be denied.
	 * @return the age from which a check is made first
	 */
	public Duration maxDenialAge() {
		return this.terms.renewalAge();
	}

	/**
	 * Returns how long ago the configuration was confirmed.
	 * @return the age, or empty if it never was
	 */
	public Optional<Duration> confirmationAge() {
		return this.confirmedNanos.map((confirmed) -> Duration.ofNanos(this.ticker.nanos() - confirmed));
	}

	/**
	 * Tells whether the lease has run out because checks fail. Makes a check if so.
	 * @return whether callers are to go elsewhere
	 */
	public boolean unavailable() {
		boolean lost = this.failing && !confirmedWithin(this.terms.validity());
		if (lost) {
			checkAgain();
		}
		return lost;
	}

	/**
	 * Uses the lease, or waits for a check if the last confirmation is too old.
	 * @param maxAge how old the confirmation may be
	 * @param outcome is told whether there is one that is young enough
	 */
	public void awaitConfirmation(Duration maxAge, Consumer<Boolean> outcome) {
		if (confirmedWithin(maxAge)) {
			if (!confirmedWithin(this.renewal)) {
				checkAgain();
			}
			outcome.accept(true);
		}
		else if (this.failing || this.waiting.size() >= MAX_WAITING) {
			checkAgain();
			outcome.accept(false);
		}
		else {
			Waiting request = new Waiting(maxAge, outcome);
			this.waiting.add(request);
			request.timer = Optional.of(this.timers.schedule(this.terms.maxWait(), () -> end(request, false)));
			checkAgain();
		}
	}

	private boolean confirmedWithin(Duration age) {
		return confirmationAge().filter((present) -> present.compareTo(age) <= 0).isPresent();
	}

	private void checkAgain() {
		long now = this.ticker.nanos();
		boolean pausing = this.failing
				&& this.checkedNanos.filter((last) -> now - last < this.terms.retryDelay().toNanos()).isPresent();
		if (this.checking || pausing) {
			return;
		}
		this.checking = true;
		this.checkedNanos = Optional.of(now);
		this.check.get().whenCompleteAsync((newest, failure) -> {
			this.checking = false;
			if (failure == null && newest) {
				checked(now);
			}
			else {
				failed(failure);
			}
		}, this.loop);
	}

	private void checked(long askedNanos) {
		if (this.failing) {
			LOG.info("configuration_confirmed", "ms", (this.ticker.nanos() - askedNanos) / 1_000_000);
		}
		this.failing = false;
		recordConfirmation(askedNanos);
		this.listener.accept(askedNanos);
	}

	/**
	 * Learns that the configuration in force was the newest one at some time.
	 * @param nanos the time, by the clock of this process
	 */
	public void recordConfirmation(long nanos) {
		if (this.confirmedNanos.filter((before) -> before - nanos >= 0).isEmpty()) {
			this.confirmedNanos = Optional.of(nanos);
			this.renewal = this.terms.renewalAge(this.random.nextDouble());
		}
		List.copyOf(this.waiting).forEach((request) -> {
			if (confirmedWithin(request.maxAge)) {
				end(request, true);
			}
		});
	}

	/**
	 * Sets what learns of each check of this process that succeeds.
	 * @param reader takes the time before the check was sent, by the clock of this
	 * process
	 */
	public void onCheckSucceeded(LongConsumer reader) {
		this.listener = Objects.requireNonNull(reader, "reader is null");
	}

	private void failed(Throwable failure) {
		if (!this.failing) {
			LOG.warning("configuration_not_confirmed", "age_ms", confirmationAge().map(Duration::toMillis).orElse(-1L),
					"error", (failure != null) ? Failures.root(failure) : "not the newest");
		}
		this.failing = true;
		List.copyOf(this.waiting).forEach((request) -> end(request, false));
	}

	private void end(Waiting request, boolean confirmed) {
		if (this.waiting.remove(request)) {
			request.timer.ifPresent(Timers.Timer::cancel);
			request.outcome.accept(confirmed);
		}
	}

	/**
	 * A request that waits for a check.
	 */
	private static final class Waiting {

		private final Duration maxAge;

		private final Consumer<Boolean> outcome;

		private Optional<Timers.Timer> timer = Optional.empty();

		Waiting(Duration maxAge, Consumer<Boolean> outcome) {
			this.maxAge = maxAge;
			this.outcome = outcome;
		}

	}

}
