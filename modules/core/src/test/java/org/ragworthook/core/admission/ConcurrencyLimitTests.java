package org.ragworthook.core.admission;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ConcurrencyLimit}.
 */
class ConcurrencyLimitTests {

	private static final long FIRST_OUTPUT_NANOS = Duration.ofMillis(40).toNanos();

	private static void window(ConcurrencyLimit limit, long nanos) {
		for (int i = 0; i < 16; i++) {
			limit.limitReached();
			limit.firstOutput(nanos);
		}
	}

	/**
	 * The limit starts far from the engine's real capacity. If it does not converge,
	 * requests wait in the engine's queue behind batch requests, or slots stay empty.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 8", "4, 256", "16, 8", "16, 256", "64, 8", "64, 256" })
	void shouldConvergeToEngineCapacity(int capacity, int initial) {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().bounds(2, 256).initial(initial).build();
		long highest = 0;
		long sum = 0;
		for (int i = 0; i < 6_000; i++) {
			int over = Math.max(0, limit.value() - capacity);
			limit.limitReached();
			limit.firstOutput(FIRST_OUTPUT_NANOS + over * FIRST_OUTPUT_NANOS * 10 / capacity);
			if (i >= 5_000) {
				highest = Math.max(highest, limit.value());
				sum += limit.value();
			}
		}
		assertThat(highest).isAtMost(capacity * 3L / 2 + 2);
		assertThat(sum / 1_000).isAtLeast(capacity * 3L / 4);
	}

	/**
	 * Under constant batch load each request takes the slot of one that has just ended
	 * and waits for a whole engine step, so its first output is much slower than the
	 * baseline of the idle engine. Mistaking this for a queue would keep half of the
	 * slots empty.
	 */
	@Test
	void shouldRiseWhileEngineReportsNoQueue() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().bounds(2, 16).initial(8).build();
		window(limit, FIRST_OUTPUT_NANOS / 8);
		for (int i = 0; i < 20; i++) {
			limit.queueReported((i % 3 == 0) ? 1 : 0);
			window(limit, FIRST_OUTPUT_NANOS);
		}
		assertThat(limit.value()).isEqualTo(16);
	}

	@Test
	void shouldFallAfterTwoReportsOfQueue() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(100).build();
		limit.queueReported(1);
		assertThat(limit.value()).isEqualTo(100);
		limit.queueReported(3);
		assertThat(limit.value()).isEqualTo(85);
	}

	/**
	 * The engine stops sending load reports. If its last report of an empty queue stayed
	 * valid forever, online requests would wait behind batch requests in a queue that is
	 * never detected.
	 */
	@Test
	void shouldUseFirstOutputsWhenReportsStop() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(100).build();
		window(limit, FIRST_OUTPUT_NANOS / 8);
		limit.queueReported(0);
		for (int i = 0; i < 12; i++) {
			window(limit, FIRST_OUTPUT_NANOS);
		}
		assertThat(limit.value()).isLessThan(100);
	}

	@Test
	void shouldNotRiseWhileLimitIsNotReached() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(8).build();
		for (int i = 0; i < 160; i++) {
			limit.firstOutput(FIRST_OUTPUT_NANOS);
		}
		assertThat(limit.value()).isEqualTo(8);
	}

	@Test
	void shouldIgnoreSlowFirstOutputsOfLongPrompts() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(8).build();
		window(limit, FIRST_OUTPUT_NANOS);
		for (int i = 0; i < 32; i++) {
			limit.limitReached();
			limit.firstOutput((i % 4 == 0) ? FIRST_OUTPUT_NANOS : FIRST_OUTPUT_NANOS * 20);
		}
		assertThat(limit.value()).isGreaterThan(8);
	}

	@Test
	void shouldFallOncePerWindow() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(100).build();
		window(limit, FIRST_OUTPUT_NANOS);
		int before = limit.value();
		for (int i = 0; i < 10; i++) {
			limit.overloaded();
		}
		assertThat(limit.value()).isEqualTo(before * 85 / 100);
	}

	/**
	 * The engine has twice the initial limit of slots. Raised by one at a time, the limit
	 * would leave half the engine idle for the duration of a burst of batch requests.
	 */
	@Test
	void shouldDoubleWithinSixWindowsAfterStart() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(8).build();
		for (int i = 0; i < 6; i++) {
			window(limit, FIRST_OUTPUT_NANOS);
		}
		assertThat(limit.value()).isAtLeast(16);
	}

	@Test
	void shouldFallWhenTokensAreSlow() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(20).tokenTarget(Duration.ofMillis(34)).build();
		window(limit, FIRST_OUTPUT_NANOS);
		limit.tokensGenerated(100, Duration.ofMillis(5_000).toNanos());
		window(limit, FIRST_OUTPUT_NANOS);
		assertThat(limit.value()).isLessThan(20);
	}

	@Test
	void shouldStayWithinBounds() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().bounds(3, 5).initial(4).build();
		for (int i = 0; i < 20; i++) {
			window(limit, FIRST_OUTPUT_NANOS);
		}
		assertThat(limit.value()).isEqualTo(5);
		for (int i = 0; i < 400; i++) {
			limit.overloaded();
		}
		assertThat(limit.value()).isEqualTo(3);
	}

}
