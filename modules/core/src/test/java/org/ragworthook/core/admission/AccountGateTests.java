package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link AccountGate}.
 */
class AccountGateTests {

	private final ManualTime time = ManualTime.of();

	private final AccountGate gate = AccountGate.of(this.time);

	@Test
	void shouldAdmitEverythingWithoutLimits() {
		for (int i = 0; i < 10_000; i++) {
			assertThat(this.gate.admit()).isEqualTo(Optional.empty());
		}
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0.5, 1, 7, 200 })
	void shouldEnforceRate(double rate) {
		this.gate.setLimits(rate, 0, 0);
		int seconds = 60;
		int admitted = 0;
		for (int i = 0; i < seconds * 1_000; i++) {
			admitted += (this.gate.admit().isEmpty()) ? 1 : 0;
			this.time.advance(Duration.ofMillis(1));
		}
		assertThat((double) admitted).isWithin(rate + 1).of(rate * seconds);
	}

	/**
	 * A refused caller comes back after the stated time. If that time were too short, the
	 * caller would be refused again.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 0.5, 3, 40 })
	void shouldAdmitAfterStatedRetryTime(double rate) {
		this.gate.setLimits(rate, 0, 0);
		Optional<AccountGate.Refusal> refusal = this.gate.admit();
		while (refusal.isEmpty()) {
			refusal = this.gate.admit();
		}
		assertThat(refusal.get().limit()).isEqualTo("requests per second");
		this.time.advance(refusal.get().retryAfter().minusNanos(1));
		assertThat(this.gate.admit().isPresent()).isTrue();
		this.time.advance(Duration.ofNanos(1));
		assertThat(this.gate.admit()).isEqualTo(Optional.empty());
	}

	@Test
	void shouldLimitRequestsInFlight() {
		this.gate.setLimits(0, 2, 0);
		this.gate.admit();
		this.gate.admit();
		assertThat(this.gate.admit().orElseThrow().limit()).isEqualTo("requests in flight");
		assertThat(this.gate.inFlight()).isEqualTo(2);
		this.gate.release(0);
		assertThat(this.gate.admit()).isEqualTo(Optional.empty());
	}

	@Test
	void shouldRefuseUntilExcessTokensAreRefilled() {
		this.gate.setLimits(0, 0, 100);
		this.gate.admit();
		this.gate.release(500);
		AccountGate.Refusal refusal = this.gate.admit().orElseThrow();
		assertThat(refusal).isEqualTo(new AccountGate.Refusal("tokens per second", Duration.ofSeconds(4)));
		this.time.advance(refusal.retryAfter());
		assertThat(this.gate.admit()).isEqualTo(Optional.empty());
	}

}
