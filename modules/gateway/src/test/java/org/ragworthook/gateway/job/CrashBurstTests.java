package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

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

	static Stream<Arguments> bursts() {
		return Stream.of(HoldingUpstream.Start.values())
			.flatMap((start) -> IntStream.of(1, 2, 3, 4, 5, 8)
				.boxed()
				.flatMap((crashes) -> IntStream.of(0, 300, 400, 1_000)
					.mapToObj((spacing) -> Arguments.of(start, crashes, spacing))));
	}

	/**
	 * The part of the item's prompt occurs in no other request, so that nothing else can
	 * show that it is harmless.
	 * @param start what upstreams send of the response before they crash
	 * @param crashes how many of them crash under the item
	 * @param spacingMillis the time between two crashes, 0 for a crash as soon as the
	 * item is placed again
	 */
	@ParameterizedTest
	@MethodSource("bursts")
	void shouldPlaceTheItemAgainAfterABurst(HoldingUpstream.Start start, int crashes, int spacingMillis) {
		startUpstreams(start);
		this.simulation.submit("job", "own", 1);
		for (int i = 0; i < crashes; i++) {
			String upstream = awaitPlaced(ITEM);
			advance(Duration.ofMillis(spacingMillis));
			this.simulation.crash(upstream);
		}
		complete("job", ITEM);
	}

	/**
	 * Guards against a sound online request that is refused since it shares a part with
	 * an item under which upstreams crashed.
	 * @param start what upstreams send of the response before they crash
	 */
	@ParameterizedTest
	@EnumSource(HoldingUpstream.Start.class)
	void shouldNotBlameThePartOfAnItem(HoldingUpstream.Start start) {
		startUpstreams(start);
		this.simulation.submit("job", "own", 1);
		for (int i = 0; i < 5; i++) {
			this.simulation.crash(awaitPlaced(ITEM));
			assertThat(this.simulation.refused("own")).isFalse();
		}
	}

	/**
	 * Guards against items that wait until the crashes of online requests with the same
	 * part no longer count, and against online requests that are run because of the
	 * items' losses.
	 */
	@ParameterizedTest
	@CsvSource({ "0", "3" })
	void shouldRunItemsWithAPartThatOnlineRequestsAreRefusedFor(int crashesUnderItem) {
		startUpstreams(HoldingUpstream.Start.HEAD);
		for (int i = 0; i < 3; i++) {
			this.simulation.crash("u" + i);
			this.simulation.loseOnlineRequest("bad", "u" + i);
		}
		assertThat(this.simulation.refused("bad")).isTrue();
		this.simulation.submit("job", "bad", 1);
		for (int i = 0; i < crashesUnderItem; i++) {
			this.simulation.crash(awaitPlaced(ITEM));
		}
		awaitPlaced(ITEM);
		assertThat(this.simulation.refused("bad")).isTrue();
		complete("job", ITEM);
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

	/**
	 * Several items of one job with a common part, whose upstreams crash at once.
	 * @param domains how many of the three failure domains crash
	 * @param times how often they crash and start again
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 1", "1, 4", "2, 4" })
	void shouldPlaceAllItemsAgainAfterTheLossOfADomain(int domains, int times) {
		startUpstreams(HoldingUpstream.Start.HEAD);
		this.simulation.submit("job", "shared", UPSTREAMS);
		for (int time = 0; time < times; time++) {
			IntStream.range(0, UPSTREAMS).forEach((item) -> awaitPlaced("job-" + item));
			for (int i = 0; i < UPSTREAMS; i++) {
				if (i % 3 < domains) {
					this.simulation.crash("u" + i);
				}
			}
			advance(Duration.ofMillis(500));
			for (int i = 0; i < UPSTREAMS; i++) {
				if (i % 3 < domains && time + 1 < times) {
					this.simulation.startUpstream("u" + i, "d" + i % 3, HoldingUpstream.Start.HEAD);
				}
			}
		}
		for (int item = 0; item < UPSTREAMS; item++) {
			awaitPlaced("job-" + item);
		}
		for (int item = 0; item < UPSTREAMS; item++) {
			this.simulation.finish("job-" + item);
		}
		advance(Duration.ofSeconds(2));
		Map<String, Boolean> listed = this.simulation.listed("job");
		assertThat(listed).hasSize(UPSTREAMS);
		assertThat(listed.values()).doesNotContain(false);
	}

}
