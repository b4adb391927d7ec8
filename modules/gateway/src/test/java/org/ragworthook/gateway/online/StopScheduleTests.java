package org.ragworthook.gateway.online;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the times of a planned stop.
 */
class StopScheduleTests {

	private static final Duration DEREGISTRATION = Duration.ofSeconds(3);

	private final ManualTime time = ManualTime.of();

	private final StopSchedule schedule = StopSchedule.of(this.time);

	/**
	 * Guards against requests that are taken, placed or cut off too late in the grace
	 * period, and against a process that leaves before its balancer has noticed.
	 * @param graceMillis the grace period
	 * @param admission until when new requests are accepted
	 * @param stay from when an idle process may exit
	 * @param placement until when waiting requests are placed
	 * @param answer from when all requests are answered
	 * @param exit when the process exits
	 */
	@ParameterizedTest
	@CsvSource({ "8000, 2500, 3000, 5000, 7000, 7500", "1600, 500, 600, 1000, 1400, 1500",
			"32000, 2500, 3000, 20000, 28000, 30000", "0, 0, 0, 0, 0, 0" })
	void shouldChangeAtTheStatedTimes(long graceMillis, long admission, long stay, long placement, long answer,
			long exit) {
		this.schedule.begin(Duration.ZERO, Duration.ofMillis(graceMillis));
		for (long at = 0; at <= graceMillis; at += 100) {
			assertThat(this.schedule.elapsedMillis()).isEqualTo(at);
			assertThat(this.schedule.admits()).isEqualTo(at < admission);
			assertThat(this.schedule.mayExit()).isEqualTo(at >= stay);
			assertThat(this.schedule.places()).isEqualTo(at < placement);
			assertThat(this.schedule.answersAll()).isEqualTo(at >= answer);
			assertThat(this.schedule.untilExit()).isEqualTo(Duration.ofMillis(Math.max(0, exit - at)));
			this.time.advance(Duration.ofMillis(100));
		}
	}

	/**
	 * Guards against a schedule whose steps follow each other in the wrong order, or
	 * whose last answers come before the last sixth of the grace period.
	 * @param graceMillis the grace period
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 100, 1_000, 7_999, 8_000, 60_000 })
	void shouldKeepToTheRulesOfAStop(long graceMillis) {
		Duration grace = Duration.ofMillis(graceMillis);
		this.schedule.begin(Duration.ZERO, grace);
		assertThat(this.schedule.untilExit()).isLessThan(grace);
		this.time.advance(grace.multipliedBy(5).dividedBy(6));
		assertThat(this.schedule.answersAll()).isFalse();
		this.time.advance(this.schedule.untilExit());
		assertThat(this.schedule.answersAll()).isTrue();
		assertThat(this.schedule.places()).isFalse();
		assertThat(this.schedule.admits()).isFalse();
		assertThat(this.schedule.mayExit()).isTrue();
	}

	/**
	 * Guards against requests that are sent just before the balancer's last check and
	 * admitted after it by an instance that is late.
	 */
	@Test
	void shouldStopToAdmitBeforeTheBalancerDirectsCallersElsewhere() {
		this.schedule.begin(Duration.ZERO, Duration.ofHours(1));
		this.time.advance(DEREGISTRATION.multipliedBy(5).dividedBy(6));
		assertThat(this.schedule.admits()).isFalse();
		assertThat(this.schedule.mayExit()).isFalse();
	}

	@Test
	void shouldAdmitAndPlaceBeforeTheSignal() {
		this.time.advance(Duration.ofHours(1));
		assertThat(this.schedule.begun()).isFalse();
		assertThat(this.schedule.admits()).isTrue();
		assertThat(this.schedule.places()).isTrue();
		assertThat(this.schedule.answersAll()).isFalse();
		assertThat(this.schedule.mayExit()).isFalse();
		assertThat(this.schedule.elapsedMillis()).isEqualTo(0);
		assertThat(failure(this.schedule::untilExit)).isInstanceOf(IllegalStateException.class);
	}

	/**
	 * Guards against a grace period that changes during a stop, when the settings are
	 * reloaded.
	 */
	@Test
	void shouldKeepItsTimesOnceBegun() {
		this.schedule.begin(Duration.ZERO, Duration.ofSeconds(8));
		this.time.advance(Duration.ofSeconds(1));
		this.schedule.begin(Duration.ZERO, Duration.ofSeconds(80));
		assertThat(this.schedule.untilExit()).isEqualTo(Duration.ofMillis(6_500));
	}

	/**
	 * Guards against a process that begins to stop late, since it was just starting, and
	 * is killed before its own end.
	 */
	@Test
	void shouldCountFromTheSignal() {
		this.schedule.begin(Duration.ofMillis(2_500), Duration.ofSeconds(8));
		assertThat(this.schedule.elapsedMillis()).isEqualTo(2_500);
		assertThat(this.schedule.admits()).isFalse();
		assertThat(this.schedule.untilExit()).isEqualTo(Duration.ofSeconds(5));
	}

	@Test
	void shouldRejectANegativeGracePeriod() {
		assertThat(failure(() -> this.schedule.begin(Duration.ZERO, Duration.ofMillis(-1))))
			.isInstanceOf(IllegalArgumentException.class);
	}

	private static RuntimeException failure(Runnable call) {
		try {
			call.run();
		}
		catch (RuntimeException ex) {
			return ex;
		}
		throw new AssertionError("the call did not fail");
	}

}
