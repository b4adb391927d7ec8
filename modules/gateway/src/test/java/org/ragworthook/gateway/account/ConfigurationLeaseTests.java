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

/**
 * How long an entry relies on the keys that it knows.
 */
class ConfigurationLeaseTests {

	private static final Duration BOUND = Duration.ofMillis(5_000);

	private static final LeaseTerms TERMS = LeaseTerms.ofRevocationBound(BOUND);

	private final ManualTime time = ManualTime.of();

	private final Deque<CompletableFuture<Boolean>> checks = new ArrayDeque<>();

	private int made;

	private final List<Boolean> outcomes = new ArrayList<>();

	private final ConfigurationLease lease = ConfigurationLease.of(this.time, this.time, Runnable::run, () -> {
		this.made++;
		CompletableFuture<Boolean> check = new CompletableFuture<>();
		this.checks.add(check);
		return check;
	}, TERMS, new Random(1));

	private void use() {
		this.lease.awaitConfirmation(this.lease.validity(), this.outcomes::add);
	}

	private void answer(boolean newest) {
		this.checks.remove().complete(newest);
	}

	private void fail() {
		this.checks.remove().completeExceptionally(new IllegalStateException("cut off"));
	}

	private void confirm() {
		use();
		answer(true);
		this.outcomes.clear();
	}

	@Test
	void shouldLetTheFirstRequestWaitForACheck() {
		use();
		use();
		assertThat(this.outcomes).isEmpty();
		assertThat(this.made).isEqualTo(1);
		answer(true);
		assertThat(this.outcomes).containsExactly(true, true);
	}

	/** Guards against counting from the answer, which may come long after the look. */
	@ParameterizedTest
	@CsvSource({ "0, 4500, true", "0, 4501, false", "1200, 3300, true", "1200, 3301, false" })
	void shouldCountFromBeforeTheCheckWasSent(long answerAfter, long thenAfter, boolean valid) {
		use();
		this.time.advance(Duration.ofMillis(Math.min(answerAfter, 200)));
		this.time.advance(Duration.ofMillis(Math.max(0, answerAfter - 200)));
		answer(true);
		this.outcomes.clear();
		this.time.advance(Duration.ofMillis(thenAfter));
		use();
		if (!valid) {
			fail();
		}
		assertThat(this.outcomes).containsExactly(valid);
	}

	/** Guards against a revoked key that is accepted for longer than the bound. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 1_000, 2_000, 4_499 })
	void shouldNotOutliveTheBoundWhileCutOff(long cutAfter) {
		confirm();
		long revoked = cutAfter;
		this.time.advance(Duration.ofMillis(cutAfter));
		for (long at = cutAfter; at < revoked + 10_000; at += 50) {
			this.outcomes.clear();
			use();
			while (!this.checks.isEmpty()) {
				fail();
			}
			if (at > revoked + BOUND.toMillis()) {
				assertThat(this.outcomes).containsExactly(false);
			}
			this.time.advance(Duration.ofMillis(50));
		}
		assertThat(this.lease.unavailable()).isTrue();
	}

	/** Guards against a process that wakes from a pause and goes by what it knew. */
	@Test
	void shouldNotBeValidAfterAPause() {
		confirm();
		this.time.advance(Duration.ofMinutes(2));
		use();
		assertThat(this.outcomes).isEmpty();
		fail();
		assertThat(this.outcomes).containsExactly(false);
	}

	@Test
	void shouldRenewBeforeItRunsOut() {
		confirm();
		for (int i = 0; i < 100; i++) {
			this.time.advance(Duration.ofMillis(100));
			use();
			while (!this.checks.isEmpty()) {
				answer(true);
			}
		}
		assertThat(this.outcomes).doesNotContain(false);
		assertThat(this.made).isAtMost(6);
	}

	@Test
	void shouldMakeNoCallsWhileItIsNotUsed() {
		confirm();
		this.time.advance(Duration.ofMinutes(10));
		assertThat(this.made).isEqualTo(1);
		assertThat(this.lease.unavailable()).isFalse();
	}

	/** Guards against callers who wait at an entry that is known to be cut off. */
	@Test
	void shouldRefuseAtOnceWhileChecksFail() {
		use();
		fail();
		this.outcomes.clear();
		use();
		assertThat(this.outcomes).containsExactly(false);
	}

	@Test
	void shouldNotLetARequestWaitForLong() {
		use();
		this.time.advance(TERMS.maxWait());
		assertThat(this.outcomes).containsExactly(false);
		answer(true);
		assertThat(this.outcomes).hasSize(1);
	}

	/** Guards against a storm of calls by callers with keys that nobody knows. */
	@Test
	void shouldBoundTheChecksThatUnknownKeysCause() {
		for (int i = 0; i < 10_000; i++) {
			this.lease.awaitConfirmation(this.lease.maxDenialAge(), this.outcomes::add);
			while (!this.checks.isEmpty()) {
				answer(true);
			}
			this.time.advance(Duration.ofMillis(1));
		}
		assertThat(this.made).isAtMost(6);
	}

	@Test
	void shouldCheckSeldomWhileChecksFail() {
		for (int i = 0; i < 1_000; i++) {
			use();
			while (!this.checks.isEmpty()) {
				fail();
			}
			this.time.advance(Duration.ofMillis(1));
		}
		assertThat(this.made).isAtMost(5);
	}

	/** Guards against a configuration that cannot be decoded and counts as confirmed. */
	@Test
	void shouldNotBeConfirmedByAnOlderConfiguration() {
		use();
		answer(false);
		assertThat(this.outcomes).containsExactly(false);
		assertThat(this.lease.confirmationAge()).isEqualTo(Optional.empty());
	}

	/** Guards against an entry that nobody uses any longer and that never comes back. */
	@Test
	void shouldComeBackThoughNoRequestComes() {
		use();
		fail();
		this.time.advance(TERMS.retryDelay());
		assertThat(this.lease.unavailable()).isTrue();
		answer(true);
		assertThat(this.lease.unavailable()).isFalse();
	}

	@Test
	void shouldHoldABoundedNumberOfRequests() {
		for (int i = 0; i < ConfigurationLease.MAX_WAITING + 10; i++) {
			use();
		}
		assertThat(this.outcomes).hasSize(10);
	}

}
