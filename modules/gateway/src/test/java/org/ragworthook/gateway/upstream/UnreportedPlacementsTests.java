package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * How many requests other entries are thought to have placed.
 */
class UnreportedPlacementsTests {

	private static final Duration AGE = Duration.ofMillis(60);

	private final AtomicLong nanos = new AtomicLong();

	private void place(UnreportedPlacements unreported, int perSecond, int seconds) {
		for (int i = 0; i < perSecond * seconds; i++) {
			this.nanos.addAndGet(Duration.ofSeconds(1).toNanos() / perSecond);
			unreported.recordPlacement();
		}
	}

	@ParameterizedTest
	@CsvSource({ "10, 0, 0.0", "10, 4, 2.4", "15, 16, 14.4", "0, 16, 0.0" })
	void shouldGoByTheRateOfThisEntry(int perSecond, int others, double expected) {
		UnreportedPlacements unreported = UnreportedPlacements.of(this.nanos::get, AGE, () -> others);
		place(unreported, perSecond, 10);
		assertThat(unreported.estimate()).isWithin(expected * 0.1 + 0.01).of(expected);
	}

	@Test
	void shouldForgetABurst() {
		UnreportedPlacements unreported = UnreportedPlacements.of(this.nanos::get, AGE, () -> 4);
		place(unreported, 20, 3);
		assertThat(unreported.estimate()).isGreaterThan(4.0);
		this.nanos.addAndGet(Duration.ofSeconds(5).toNanos());
		assertThat(unreported.estimate()).isLessThan(0.1);
	}

}
