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

	private static final long FIRST = Duration.ofMillis(40).toNanos();

	private static void window(ConcurrencyLimit limit, long nanos) {
		for (int i = 0; i < 16; i++) {
			limit.limitReached();
			limit.firstOutput(nanos);
		}
	}

	/**
	 * The engine runs a certain number of requests at once and queues the rest in arrival
	 * order. The limit starts far from that number, and callers would wait in the
	 * engine's queue behind batch, or slots would stay empty.
	 */
	@ParameterizedTest
	@CsvSource({ "4, 8", "4, 256", "16, 8", "16, 256", "64, 8", "64, 256" })
	void shouldFindCapacityOfEngine(int capacity, int initial) {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().bounds(2, 256).initial(initial).build();
		long highest = 0;
		long sum = 0;
		for (int i = 0; i < 6_000; i++) {
			int over = Math.max(0, limit.value() - capacity);
			limit.limitReached();
			limit.firstOutput(FIRST + over * FIRST * 10 / capacity);
			if (i >= 5_000) {
				highest = Math.max(highest, limit.value());
				sum += limit.value();
			}
		}
		assertThat(highest).isAtMost(capacity * 3L / 2 + 2);
		assertThat(sum / 1_000).isAtLeast(capacity * 3L / 4);
	}

	/**
	 * Under constant batch each request takes the place of one that has just ended and
	 * waits for a whole step of the engine, twice as long as on the idle engine of the
	 * night. Taken for a queue this would keep half of the slots empty while batch waits.
	 */
	@Test
	void shouldRiseWhileTheEngineReportsNoQueue() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().bounds(2, 16).initial(8).build();
		window(limit, FIRST / 8);
		for (int i = 0; i < 20; i++) {
			limit.queueReported((i % 3 == 0) ? 1 : 0);
			window(limit, FIRST);
		}
		assertThat(limit.value()).isEqualTo(16);
	}

	@Test
	void shouldFallWhenTwoReportsInARowShowAQueue() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(100).build();
		limit.queueReported(1);
		assertThat(limit.value()).isEqualTo(100);
		limit.queueReported(3);
		assertThat(limit.value()).isEqualTo(85);
	}

	/**
	 * The engine stops to report. Its last word, that there is no queue, must not hold
	 * for ever, or callers would wait behind batch in a queue that nobody sees.
	 */
	@Test
	void shouldGoByFirstOutputsAgainWhenReportsStop() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(100).build();
		window(limit, FIRST / 8);
		limit.queueReported(0);
		for (int i = 0; i < 12; i++) {
			window(limit, FIRST);
		}
		assertThat(limit.value()).isLessThan(100);
	}

	@Test
	void shouldNotRiseWhileUnused() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(8).build();
		for (int i = 0; i < 160; i++) {
			limit.firstOutput(FIRST);
		}
		assertThat(limit.value()).isEqualTo(8);
	}

	@Test
	void shouldIgnoreSomeLongPrompts() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(8).build();
		window(limit, FIRST);
		for (int i = 0; i < 32; i++) {
			limit.limitReached();
			limit.firstOutput((i % 4 == 0) ? FIRST : FIRST * 20);
		}
		assertThat(limit.value()).isGreaterThan(8);
	}

	@Test
	void shouldFallOnceForOneQueue() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(100).build();
		window(limit, FIRST);
		int before = limit.value();
		for (int i = 0; i < 10; i++) {
			limit.overloaded();
		}
		assertThat(limit.value()).isEqualTo(before * 85 / 100);
	}

	/**
	 * A sidecar starts beside an engine with twice the slots that it first takes it to
	 * have. Grown by one at a time the limit would leave half the engine idle for as long
	 * as a burst of batch lasts.
	 */
	@Test
	void shouldDoubleWithinSixWindowsAfterTheStart() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(8).build();
		for (int i = 0; i < 6; i++) {
			window(limit, FIRST);
		}
		assertThat(limit.value()).isAtLeast(16);
	}

	@Test
	void shouldFallWhenTokensAreSlow() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().initial(20).tokenTarget(Duration.ofMillis(34)).build();
		window(limit, FIRST);
		limit.tokensGenerated(100, Duration.ofMillis(5_000).toNanos());
		window(limit, FIRST);
		assertThat(limit.value()).isLessThan(20);
	}

	@Test
	void shouldStayWithinBounds() {
		ConcurrencyLimit limit = ConcurrencyLimit.builder().bounds(3, 5).initial(4).build();
		for (int i = 0; i < 20; i++) {
			window(limit, FIRST);
		}
		assertThat(limit.value()).isEqualTo(5);
		for (int i = 0; i < 400; i++) {
			limit.overloaded();
		}
		assertThat(limit.value()).isEqualTo(3);
	}

}
