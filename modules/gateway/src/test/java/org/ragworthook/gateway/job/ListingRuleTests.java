package org.ragworthook.gateway.job;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * When finished items are listed.
 */
class ListingRuleTests {

	/**
	 * An item ends a second before its job is due. Gathered as usual, it would be listed
	 * half a second too late.
	 * @param waitedMillis how long it has waited
	 * @param untilDueMillis how long it is until the job is due
	 * @param listed whether it is listed now
	 */
	@ParameterizedTest
	@CsvSource({ "1499, 10000, false", "1500, 10000, true", "99, 1000, false", "100, 1000, true", "100, 1599, true",
			"100, 1600, false", "100, -5000, true" })
	void shouldNotGatherWhatIsNearlyDue(long waitedMillis, long untilDueMillis, boolean listed) {
		assertThat(ListingRule.due(Duration.ofMillis(waitedMillis), Duration.ofMillis(untilDueMillis)))
			.isEqualTo(listed);
	}

}
