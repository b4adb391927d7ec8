package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/** Tests how long an entry relies on the API keys of its configuration. */
class ConfigurationLeaseTests {

	private static final Duration BOUND = Duration.ofMillis(5_000);

	private static final LeaseTerms TERMS = LeaseTerms.ofRevocationBound(BOUND);

	private final ManualTime time = ManualTime.of();

	private final Deque<CompletableFuture<Boolean>> checks = new ArrayDeque<>();

	private int checkCount;

	private final List<Boolean> outcomes = new ArrayList<>();

	private final ConfigurationLease lease = ConfigurationLease.of(this.time, this.time, Runnable::run, () -> {
		this.checkCount++;
		CompletableFuture<Boolean> check = new CompletableFuture<>();
		this.checks.add(check);
		return check;
	}, TERMS, new Random(1));

	private void awaitConfirmation() {
		this.lease.awaitConfirmation(this.lease.validity(), this.outcomes::add);
	}

	private void completeCheck(boolean newest) {
		this.checks.remove().complete(newest);
	}

	private void failCheck() {
		this.checks.remove().completeExceptionally(new IllegalStateException("cut off"));
	}

	private void confirm() {
		awaitConfirmation();
		completeCheck(true);
		this.outcomes.clear();
	}

	@Test
	void shouldHoldRequestsUntilTheFirstCheck() {
		awaitConfirmation();
		awaitConfirmation();
		assertThat(this.outcomes).isEmpty();
		assertThat(this.checkCount).isEqualTo(1);
		completeCheck(true);
		assertThat(this.outcomes).containsExactly(true, true);
	}

	/**
	 * Guards against measuring the validity from the response, which may arrive long
	 * after the platform read the configuration.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 4500, true", "0, 4501, false", "1200, 3300, true", "1200, 3301, false" })
	void shouldMeasureValidityFromBeforeTheCheckWasSent(long answerAfterMillis, long elapsedMillis, boolean valid) {
		awaitConfirmation();
		this.time.advance(Duration.ofMillis(Math.min(answerAfterMillis, 200)));
		this.time.advance(Duration.ofMillis(Math.max(0, answerAfterMillis - 200)));
		completeCheck(true);
		this.outcomes.clear();
		this.time.advance(Duration.ofMillis(elapsedMillis));
		awaitConfirmation();
		if (!valid) {
			failCheck();
		}
		assertThat(this.outcomes).containsExactly(valid);
	}

	/** Guards against accepting a revoked key for longer than the bound. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 1_000, 2_000, 4_499 })
	void shouldExpireWithinTheBoundWhileCutOff(long cutOffMillis) {
		confirm();
		long revokedMillis = cutOffMillis;
		this.time.advance(Duration.ofMillis(cutOffMillis));
		for (long atMillis = cutOffMillis; atMillis < revokedMillis + 10_000; atMillis += 50) {
			this.outcomes.clear();
			awaitConfirmation();
			while (!this.checks.isEmpty()) {
				failCheck();
			}
			if (atMillis > revokedMillis + BOUND.toMillis()) {
				assertThat(this.outcomes).containsExactly(false);
			}
			this.time.advance(Duration.ofMillis(50));
		}
		assertThat(this.lease.unavailable()).isTrue();
	}

	/**
	 * Guards against a process that resumes after a pause and uses an outdated
	 * configuration.
	 */
	@Test
	void shouldBeInvalidAfterALongPauseOfTheProcess() {
		confirm();
		this.time.advance(Duration.ofMinutes(2));
		awaitConfirmation();
		assertThat(this.outcomes).isEmpty();
		failCheck();
		assertThat(this.outcomes).containsExactly(false);
	}

	@Test
	void shouldRenewBeforeExpiry() {
		confirm();
		for (int i = 0; i < 100; i++) {
			this.time.advance(Duration.ofMillis(100));
			awaitConfirmation();
			while (!this.checks.isEmpty()) {
				completeCheck(true);
			}
		}
		assertThat(this.outcomes).doesNotContain(false);
		assertThat(this.checkCount).isAtMost(6);
	}

	@Test
	void shouldMakeNoCallsWhileIdle() {
		confirm();
		this.time.advance(Duration.ofMinutes(10));
		assertThat(this.checkCount).isEqualTo(1);
		assertThat(this.lease.unavailable()).isFalse();
	}

	/** Guards against holding callers at an entry that is known to be cut off. */
	@Test
	void shouldFailImmediatelyWhileChecksFail() {
		awaitConfirmation();
		failCheck();
		this.outcomes.clear();
		awaitConfirmation();
		assertThat(this.outcomes).containsExactly(false);
	}

	@Test
	void shouldTimeOutAPendingRequest() {
		awaitConfirmation();
		this.time.advance(TERMS.maxWait());
		assertThat(this.outcomes).containsExactly(false);
		completeCheck(true);
		assertThat(this.outcomes).hasSize(1);
	}

	/** Guards against a flood of platform calls caused by callers with unknown keys. */
	@Test
	void shouldBoundTheChecksCausedByUnknownKeys() {
		for (int i = 0; i < 10_000; i++) {
			this.lease.awaitConfirmation(this.lease.maxDenialAge(), this.outcomes::add);
			while (!this.checks.isEmpty()) {
				completeCheck(true);
			}
			this.time.advance(Duration.ofMillis(1));
		}
		assertThat(this.checkCount).isAtMost(6);
	}

	@Test
	void shouldBackOffWhileChecksFail() {
		for (int i = 0; i < 1_000; i++) {
			awaitConfirmation();
			while (!this.checks.isEmpty()) {
				failCheck();
			}
			this.time.advance(Duration.ofMillis(1));
		}
		assertThat(this.checkCount).isAtMost(5);
	}

	/** Guards against counting a configuration that cannot be decoded as confirmed. */
	@Test
	void shouldNotBeConfirmedByAnOutdatedConfiguration() {
		awaitConfirmation();
		completeCheck(false);
		assertThat(this.outcomes).containsExactly(false);
		assertThat(this.lease.confirmationAge()).isEqualTo(Optional.empty());
	}

	/**
	 * Guards against an entry that is taken out of service, receives no more requests and
	 * therefore never checks again.
	 */
	@Test
	void shouldRecoverWithoutRequests() {
		awaitConfirmation();
		failCheck();
		this.time.advance(TERMS.retryDelay());
		assertThat(this.lease.unavailable()).isTrue();
		completeCheck(true);
		assertThat(this.lease.unavailable()).isFalse();
	}

	@Test
	void shouldBoundPendingRequests() {
		for (int i = 0; i < ConfigurationLease.MAX_PENDING + 10; i++) {
			awaitConfirmation();
		}
		assertThat(this.outcomes).hasSize(10);
	}

}
