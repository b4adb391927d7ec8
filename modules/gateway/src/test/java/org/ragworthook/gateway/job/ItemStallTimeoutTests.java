package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.gateway.observe.ServiceTimes;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests when the run of an item counts as stalled, with simulated upstreams.
 */
class ItemStallTimeoutTests {

	private static final long CHECK_MILLIS = 100;

	private static final int EVENTS = 60;

	private static ServiceTimes known(long gapMillis, long firstEventMillis) {
		return new ServiceTimes(OptionalDouble.of(gapMillis), OptionalDouble.of(firstEventMillis),
				OptionalDouble.empty(), false);
	}

	private static long nanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

	/**
	 * Plays a run and checks it every 100 ms.
	 * @param times the known times of the service
	 * @param headMillis when the response begins
	 * @param eventMillis when the events arrive, in order
	 * @param endMillis when the checks end
	 * @return when the run first counts as stalled
	 */
	private static OptionalLong stalledMillis(ServiceTimes times, long headMillis, List<Long> eventMillis,
			long endMillis) {
		RunProgress progress = new RunProgress(0);
		int events = 0;
		boolean responded = false;
		for (long now = 0; now <= endMillis; now += CHECK_MILLIS) {
			if (!responded && headMillis <= now) {
				progress.head(nanos(headMillis));
				responded = true;
			}
			for (; events < eventMillis.size() && eventMillis.get(events) <= now; events++) {
				progress.event(nanos(eventMillis.get(events)));
			}
			Duration limit = ItemStallTimeout.of(times, OptionalDouble.empty(), OptionalDouble.empty(), progress);
			if (responded && progress.silence(nanos(now)).compareTo(limit) >= 0) {
				return OptionalLong.of(now);
			}
		}
		return OptionalLong.empty();
	}

	private static List<Long> events(long firstMillis, long gapMillis, int count) {
		List<Long> events = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			events.add(firstMillis + i * gapMillis);
		}
		return events;
	}

	/**
	 * Guards against a slow upstream that is taken for a silent one, at which each run of
	 * an item would be wasted.
	 * @param gapMillis the time between two events
	 * @param firstEventMillis the time until the first event
	 */
	@ParameterizedTest
	@CsvSource({ "5, 20", "30, 150", "60, 300", "120, 600", "360, 700", "480, 1000", "800, 2000", "1500, 3500",
			"3000, 5000" })
	void shouldNotTakeASlowUpstreamForASilentOne(long gapMillis, long firstEventMillis) {
		for (ServiceTimes times : List.of(known(gapMillis, firstEventMillis), ServiceTimes.UNKNOWN)) {
			List<Long> events = events(firstEventMillis, gapMillis, EVENTS);
			assertThat(stalledMillis(times, firstEventMillis, events, events.get(EVENTS - 1)).isPresent()).isFalse();
		}
	}

	/**
	 * Guards against ending a run that the engine has interrupted for lack of memory and
	 * computes again from the start.
	 * @param gapMillis the time between two events
	 * @param firstEventMillis the time until the first event
	 * @param after the number of events before the interruption
	 */
	@ParameterizedTest
	@CsvSource({ "5, 20, 1", "30, 150, 2", "30, 600, 30", "120, 600, 1", "360, 700, 2", "480, 1000, 30", "800, 2000, 2",
			"1500, 3500, 59" })
	void shouldWaitForAnItemThatIsComputedAgain(long gapMillis, long firstEventMillis, int after) {
		for (ServiceTimes times : List.of(known(gapMillis, firstEventMillis), ServiceTimes.UNKNOWN)) {
			List<Long> events = events(firstEventMillis, gapMillis, after);
			long resumed = events.get(after - 1) + gapMillis + 2 * firstEventMillis;
			events.addAll(events(resumed, gapMillis, EVENTS - after));
			assertThat(stalledMillis(times, firstEventMillis, events, events.get(EVENTS - 1)).isPresent()).isFalse();
		}
	}

	/**
	 * Guards against an item that waits too long at an upstream that has lost it: an
	 * upstream that is idle for 5 s has to have begun another run.
	 * @param gapMillis the time between two events
	 * @param firstEventMillis the time until the first event
	 * @param known whether the speed of the service is known
	 */
	@ParameterizedTest
	@CsvSource({ "5, 20, true", "30, 150, true", "30, 600, true", "120, 600, true", "360, 700, true", "5, 20, false",
			"30, 150, false", "30, 600, false", "120, 600, false", "360, 700, false" })
	void shouldNoticeALostResponseWithinFiveSeconds(long gapMillis, long firstEventMillis, boolean known) {
		ServiceTimes times = known ? known(gapMillis, firstEventMillis) : ServiceTimes.UNKNOWN;
		for (int sent = 0; sent <= EVENTS; sent++) {
			List<Long> events = events(firstEventMillis, gapMillis, sent);
			long last = (sent == 0) ? firstEventMillis : events.get(sent - 1);
			OptionalLong stalled = stalledMillis(times, firstEventMillis, events, last + 60_000);
			assertThat(stalled.isPresent()).isTrue();
			assertThat(stalled.getAsLong() - last).isLessThan(4_500);
		}
	}

	/**
	 * Guards against an item that waits too long at an upstream that has lost it because
	 * its run had waited in the engine's queue: the time to the head then says nothing
	 * about how long the engine computes.
	 * @param headMillis when the response begins; items are left in a queue for up to 4.8
	 * s
	 */
	@ParameterizedTest
	@CsvSource({ "1500", "3000", "4700" })
	void shouldNoticeALostResponseAfterAWaitInTheQueue(long headMillis) {
		List<Long> events = events(headMillis, 30, 10);
		long last = events.get(events.size() - 1);
		OptionalLong stalled = stalledMillis(known(30, 150), headMillis, events, last + 60_000);
		assertThat(stalled.isPresent()).isTrue();
		assertThat(stalled.getAsLong() - last).isLessThan(4_500);
	}

	/**
	 * Guards against runs that end because this process was paused, which leaves the
	 * events that were sent meanwhile unread.
	 */
	@Test
	void shouldNotCountAPauseOfThisProcess() {
		RunProgress progress = new RunProgress(0);
		progress.head(nanos(100));
		progress.event(nanos(100));
		progress.event(nanos(130));
		assertThat(progress.silence(nanos(200))).isEqualTo(Duration.ofMillis(70));
		assertThat(progress.silence(nanos(60_200))).isLessThan(Duration.ofMillis(300));
		progress.event(nanos(60_201));
		assertThat(progress.silence(nanos(60_301))).isEqualTo(Duration.ofMillis(100));
	}

}
