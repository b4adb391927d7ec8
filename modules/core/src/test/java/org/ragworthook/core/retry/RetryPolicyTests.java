package org.ragworthook.core.retry;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RetryPolicy}.
 */
class RetryPolicyTests {

	private final ManualTime time = ManualTime.of();

	private final Random random = new Random(3);

	private final Backoff backoff = Backoff.of(Duration.ofMillis(5), Duration.ofMillis(200), () -> this.random);

	private final RetryPolicy policy = RetryPolicy.of(RetryBudget.defaults(), this.backoff, 4);

	private static String kind(RetryDecision decision) {
		return (decision instanceof RetryDecision.GiveUp giveUp) ? giveUp.code().name()
				: decision.getClass().getSimpleName();
	}

	/**
	 * Decision table: each outcome, for idempotent and other requests, before and after
	 * output was sent to the caller. A wrong decision runs a non-idempotent request twice
	 * or gives the caller a wrong error code.
	 */
	@ParameterizedTest
	@CsvSource({ "ANSWERED, true, false, Deliver", "ANSWERED, false, true, Deliver", "REJECTED, true, false, Retry",
			"REJECTED, false, false, Deliver", "RETURNED, false, false, Retry", "NOT_PASSED_ON, true, false, Retry",
			"NOT_PASSED_ON, false, false, Retry", "INCOMPLETE, true, false, Retry", "INCOMPLETE, true, true, Resume",
			"INCOMPLETE, false, false, REQUEST_OUTCOME_UNKNOWN", "INCOMPLETE, false, true, REQUEST_OUTCOME_UNKNOWN",
			"CRASHED, true, false, Retry", "CRASHED, true, true, Resume",
			"CRASHED, false, false, REQUEST_OUTCOME_UNKNOWN", "LINK_LOST, true, false, Retry",
			"LINK_LOST, true, true, Resume", "LINK_LOST, false, false, REQUEST_OUTCOME_UNKNOWN",
			"CANCELLED, true, false, REQUEST_FAILED", "CANCELLED, false, false, REQUEST_OUTCOME_UNKNOWN" })
	void shouldDecideByOutcome(AttemptOutcome outcome, boolean idempotent, boolean sent, String expected) {
		RequestState state = this.policy.begin(idempotent, true).after(outcome, sent);
		assertThat(kind(this.policy.decide(state, outcome, Deadline.none(this.time)))).isEqualTo(expected);
	}

	@Test
	void shouldNotResumeRequestThatIsNotResumable() {
		RequestState state = this.policy.begin(true, false).after(AttemptOutcome.INCOMPLETE, true);
		assertThat(kind(this.policy.decide(state, AttemptOutcome.INCOMPLETE, Deadline.none(this.time))))
			.isEqualTo("REQUEST_FAILED");
	}

	/**
	 * The connection to the first upstream failed during the request, and the second
	 * refused it. The error must not state that the request was not run.
	 */
	@ParameterizedTest
	@CsvSource({ "true, REQUEST_FAILED", "false, REQUEST_OUTCOME_UNKNOWN" })
	void shouldNotReportAsNotRunAfterEarlierAttemptWasPassedOn(boolean idempotent, String expected) {
		RequestState state = this.policy.begin(idempotent, true)
			.after(AttemptOutcome.INCOMPLETE, false)
			.after(AttemptOutcome.NOT_PASSED_ON, false);
		assertThat(kind(this.policy.noUpstream(state))).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "NOT_PASSED_ON, true, REQUEST_NOT_RUN_DEADLINE", "NOT_PASSED_ON, false, REQUEST_NOT_RUN_DEADLINE",
			"INCOMPLETE, true, REQUEST_DEADLINE_PASSED", "LINK_LOST, false, REQUEST_OUTCOME_UNKNOWN" })
	void shouldGiveUpAtDeadline(AttemptOutcome outcome, boolean idempotent, String expected) {
		Deadline deadline = Deadline.after(this.time, Duration.ofSeconds(1));
		RequestState state = this.policy.begin(idempotent, true).after(outcome, false);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(kind(this.policy.decide(state, outcome, deadline))).isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "REFUSED, REQUEST_NOT_RUN_OVERLOADED", "NOT_PASSED_ON, REQUEST_NOT_RUN_NO_UPSTREAM" })
	void shouldGiveUpAfterLastAttempt(AttemptOutcome outcome, String expected) {
		RequestState state = this.policy.begin(false, false);
		for (int i = 0; i < 3; i++) {
			state = state.after(outcome, false);
			assertThat(kind(this.policy.decide(state, outcome, Deadline.none(this.time)))).isEqualTo("Retry");
		}
		state = state.after(outcome, false);
		assertThat(kind(this.policy.decide(state, outcome, Deadline.none(this.time)))).isEqualTo(expected);
	}

	/**
	 * All upstreams fail every request for a long time. Retries must not multiply the
	 * load on upstreams that are already failing.
	 */
	@ParameterizedTest
	@EnumSource(names = { "REJECTED", "REFUSED", "NOT_PASSED_ON", "INCOMPLETE", "CRASHED" })
	void shouldBoundAmplificationInFullOutage(AttemptOutcome outcome) {
		int requests = 5_000;
		int attempts = 0;
		for (int i = 0; i < requests; i++) {
			RequestState state = this.policy.begin(true, true);
			RetryDecision decision;
			do {
				attempts++;
				state = state.after(outcome, false);
				decision = this.policy.decide(state, outcome, Deadline.none(this.time));
			}
			while (decision instanceof RetryDecision.Retry);
		}
		assertThat((double) attempts / requests).isAtMost(1.1);
	}

	/**
	 * A lost failure domain or a draining sidecar affects hundreds of requests at once,
	 * more than the budget holds. Each of them must still be retried.
	 */
	@ParameterizedTest
	@EnumSource(names = { "LINK_LOST", "RETURNED" })
	void shouldRetryBeyondBudgetAfterSingleLoss(AttemptOutcome outcome) {
		for (int i = 0; i < 500; i++) {
			RequestState state = this.policy.begin(true, true).after(outcome, false);
			assertThat(kind(this.policy.decide(state, outcome, Deadline.none(this.time)))).isEqualTo("Retry");
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 3, 10, 100 })
	void shouldBackOffWithinBound(int retry) {
		long bound = Math.min(200, 5L << Math.min(retry, 10));
		for (int i = 0; i < 100; i++) {
			assertThat(this.backoff.delay(retry)).isLessThan(Duration.ofMillis(bound));
		}
	}

	@Test
	void shouldReturnRemainingMillis() {
		assertThat(Deadline.none(this.time).remainingMillis()).isEqualTo(0);
		Deadline deadline = Deadline.after(this.time, Duration.ofMillis(70));
		assertThat(deadline.remainingMillis()).isEqualTo(70);
		this.time.advance(Duration.ofMillis(100));
		assertThat(deadline.remainingMillis()).isEqualTo(1);
		assertThat(deadline.passed()).isTrue();
	}

}
