package org.ragworthook.gateway.upstream;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Tests the estimate of requests that other entries have placed. */
class UnreportedPlacementsTests {

	private static final Duration REPORT_AGE = Duration.ofMillis(60);

	private final AtomicLong nanos = new AtomicLong();

	private void recordPlacements(UnreportedPlacements unreported, int perSecond, int seconds) {
		for (int i = 0; i < perSecond * seconds; i++) {
			this.nanos.addAndGet(Duration.ofSeconds(1).toNanos() / perSecond);
			unreported.recordPlacement();
		}
	}

	@ParameterizedTest
	@CsvSource({ "10, 0, 0.0", "10, 4, 2.4", "15, 16, 14.4", "0, 16, 0.0" })
	void shouldEstimateFromTheRateOfThisEntry(int perSecond, int reachableEntries, double expected) {
		UnreportedPlacements unreported = UnreportedPlacements.of(this.nanos::get, REPORT_AGE, () -> reachableEntries);
		recordPlacements(unreported, perSecond, 10);
		assertThat(unreported.estimate()).isWithin(expected * 0.1 + 0.01).of(expected);
	}

	@Test
	void shouldDecayAfterABurst() {
		UnreportedPlacements unreported = UnreportedPlacements.of(this.nanos::get, REPORT_AGE, () -> 4);
		recordPlacements(unreported, 20, 3);
		assertThat(unreported.estimate()).isGreaterThan(4.0);
		this.nanos.addAndGet(Duration.ofSeconds(5).toNanos());
		assertThat(unreported.estimate()).isLessThan(0.1);
	}

}
