package org.ragworthook.gateway.job;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against items that are not run again after several upstreams crashed under them:
 * items never crash upstreams themselves, so they are still owed.
 */
class CrashBurstTests {

	private static final int UPSTREAMS = 13;

	/** While upstreams are under half full, no item is unplaced for as long as this. */
	private static final Duration MAX_UNPLACED = Duration.ofSeconds(5);

	private static final String ITEM = "job-0";

	private final BatchSimulation simulation = new BatchSimulation(1);

	@AfterEach
	void stop() {
		this.simulation.close();
	}

	private void startUpstreams(HoldingUpstream.Start start) {
		for (int i = 0; i < UPSTREAMS; i++) {
			this.simulation.startUpstream("u" + i, "d" + i % 3, start);
		}
	}

	private void advance(Duration duration) {
		long end = this.simulation.nanos() + duration.toNanos();
		while (this.simulation.nanos() < end) {
			this.simulation.advance();
		}
	}

	/** Advances the clock until an upstream runs the item. */
	private String awaitPlaced(String item) {
		long start = this.simulation.nanos();
		while (!this.simulation.running().containsKey(item)) {
			assertWithMessage("nanoseconds for which %s was unplaced", item).that(this.simulation.nanos() - start)
				.isLessThan(MAX_UNPLACED.toNanos());
			this.simulation.advance();
		}
		return this.simulation.running().get(item);
	}

	private void complete(String job, String item) {
		awaitPlaced(item);
		this.simulation.finish(item);
		advance(Duration.ofSeconds(2));
		assertThat(this.simulation.listed(job)).containsExactly(item, true);
	}

	/**
	 * Guards against an item that rests for longer than its job may take, and against one
	 * that is placed at one upstream after the other without a pause. It has no part that
	 * other requests can have.
	 * @param start what upstreams send of the response before they crash
	 */
	@ParameterizedTest
	@EnumSource(value = HoldingUpstream.Start.class, names = { "NOTHING", "HEAD" })
	void shouldPauseLongerAfterEachRunWithoutAnEvent(HoldingUpstream.Start start) {
		startUpstreams(start);
		this.simulation.submit("job", "", 1);
		long longest = 0;
		for (int i = 0; i < 8; i++) {
			String upstream = awaitPlaced(ITEM);
			this.simulation.crash(upstream);
			this.simulation.unlist(upstream);
			long crashed = this.simulation.nanos();
			awaitPlaced(ITEM);
			long pause = this.simulation.nanos() - crashed;
			assertThat(pause).isAtLeast(longest);
			longest = pause;
		}
		assertThat(longest).isAtLeast(Duration.ofMillis(800).toNanos());
		assertThat(longest).isAtMost(Duration.ofSeconds(2).toNanos());
		complete("job", ITEM);
	}

}
