package org.ragworthook.gateway.job;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * When the results of finished items are published.
 */
class PublishDelayTests {

	/**
	 * An item ends a second before its job is due. With the regular delay its result
	 * would be published half a second late.
	 * @param waitedMillis how long the item has waited
	 * @param untilDueMillis how long it is until the job is due
	 * @param elapsed whether its result is published now
	 */
	@ParameterizedTest
	@CsvSource({ "1499, 10000, false", "1500, 10000, true", "99, 1000, false", "100, 1000, true", "100, 1599, true",
			"100, 1600, false", "100, -5000, true" })
	void shouldShortenTheDelayNearTheDueTime(long waitedMillis, long untilDueMillis, boolean elapsed) {
		assertThat(PublishDelay.elapsed(Duration.ofMillis(waitedMillis), Duration.ofMillis(untilDueMillis)))
			.isEqualTo(elapsed);
	}

}
