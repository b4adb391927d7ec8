package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.PromptSegment;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a part of prompts that crashes one upstream after the other, and against
 * a sound part that is taken for one.
 */
class PoisonPartDetectorTests {

	private static final long FIRST = 1;

	private static final long POISON = 2;

	private static final long OTHER = 3;

	/** The users count from the fifth crash on and accept three more requests. */
	private static final int MAX_CRASHES = 5 + 3;

	private final ManualTime time = ManualTime.of();

	private final Set<Integer> alive = new HashSet<>();

	private final PoisonPartDetector detector = newDetector();

	private PoisonPartDetector newDetector() {
		return PoisonPartDetector.empty(this.time, (upstream, nanos) -> this.alive.contains(upstream));
	}

	private void crash(PoisonPartDetector observer, int upstream, long... parts) {
		observer.recordConnectionLoss(LongStream.of(parts).boxed().toList(), upstream);
		this.time.advance(Duration.ofMillis(20));
	}

	private void crashes(int count, long... parts) {
		IntStream.range(0, count).forEach((upstream) -> crash(this.detector, upstream, parts));
	}

	private boolean refuses(long part) {
		return this.detector.refused(Set.of(part));
	}

	@Test
	void shouldRefuseAPartAfterThreeCrashes() {
		crashes(2, POISON);
		assertThat(refuses(POISON)).isFalse();
		crash(this.detector, 2, POISON);
		assertThat(refuses(POISON)).isTrue();
		assertThat(refuses(OTHER)).isFalse();
	}

	/** One crash breaks off several requests with the part. */
	@Test
	void shouldCountEachCrashOnce() {
		IntStream.range(0, 8).forEach((request) -> crash(this.detector, 1, POISON));
		assertThat(refuses(POISON)).isFalse();
	}

	/** All requests of a route share the first part, which is lost with each crash. */
	@ParameterizedTest
	@ValueSource(ints = { 3, 5, 12 })
	void shouldServeTheFirstPartOfPoisonRequests(int count) {
		this.detector.recordSuccess(Set.of(FIRST));
		for (int upstream = 0; upstream < count; upstream++) {
			crash(this.detector, upstream, FIRST, OTHER);
			crash(this.detector, upstream, FIRST, POISON);
		}
		assertThat(refuses(POISON)).isTrue();
		assertThat(refuses(FIRST)).isFalse();
	}

	@Test
	void shouldServeAPartThatHasCompleteResponses() {
		for (int upstream = 0; upstream < 20; upstream++) {
			crash(this.detector, upstream, OTHER);
			if (upstream % 2 == 1) {
				this.detector.recordSuccess(Set.of(OTHER));
			}
			assertThat(refuses(OTHER)).isFalse();
		}
	}

	/**
	 * Guards against a part that all requests share and that is refused for good, since
	 * responses without a length never count as complete.
	 */
	@Test
	void shouldServeAPartWhoseResponsesEndWithTheirConnection() {
		this.detector.recordClosedResponse(Set.of(OTHER), 100);
		this.time.advance(PoisonPartDetector.SETTLE_TIME);
		this.alive.add(100);
		crashes(4, OTHER);
		assertThat(refuses(OTHER)).isFalse();
	}

	/** Guards against a crash that counts as a complete response of the poison part. */
	@Test
	void shouldNotTakeTheCloseOfACrashForACompleteResponse() {
		for (int upstream = 0; upstream < 3; upstream++) {
			this.detector.recordClosedResponse(Set.of(POISON), 100 + upstream);
			crash(this.detector, upstream, POISON);
		}
		this.time.advance(PoisonPartDetector.MAX_PROOF_TIME);
		assertThat(refuses(POISON)).isTrue();
		this.alive.addAll(List.of(100, 101, 102));
		assertThat(refuses(POISON)).isTrue();
	}

	/**
	 * Guards against a crash that counts as a complete response because its upstream has
	 * started again before this process looks at the response the next time.
	 */
	@Test
	void shouldNotTakeTheActivityAfterANewStartForAProof() {
		this.detector.recordClosedResponse(Set.of(POISON), 100);
		this.time.advance(PoisonPartDetector.MAX_PROOF_TIME.multipliedBy(4));
		this.alive.add(100);
		crashes(3, POISON);
		assertThat(refuses(POISON)).isTrue();
	}

	/**
	 * Guards against a proof that is lost since no request looks at the response while
	 * its upstream can prove it.
	 */
	@Test
	void shouldTakeAProofWithEachReport() {
		this.detector.recordClosedResponse(Set.of(OTHER), 100);
		this.time.advance(PoisonPartDetector.SETTLE_TIME);
		this.alive.add(100);
		this.detector.observations();
		this.time.advance(PoisonPartDetector.MAX_PROOF_TIME.multipliedBy(4));
		crashes(4, OTHER);
		assertThat(refuses(OTHER)).isFalse();
	}

	/** The route has no complete response yet; its sound requests are to get one. */
	@ParameterizedTest
	@ValueSource(ints = { 3, 5, 12 })
	void shouldServeTheFirstPartBeforeItHasACompleteResponse(int count) {
		for (int upstream = 0; upstream < count; upstream++) {
			crash(this.detector, upstream, FIRST);
			crash(this.detector, upstream, FIRST, POISON);
		}
		assertThat(this.detector.refused(List.of(FIRST, POISON))).isTrue();
		assertThat(refuses(FIRST)).isFalse();
	}

	/** Two parts have occurred in the same requests only, and one of them is sound. */
	@Test
	void shouldRefusePartsWithTheSameCrashesOnlyTogether() {
		crashes(3, FIRST, POISON, OTHER);
		assertThat(this.detector.refused(List.of(FIRST, POISON, OTHER))).isTrue();
		assertThat(this.detector.refused(List.of(FIRST, OTHER))).isFalse();
		assertThat(this.detector.refused(List.of(FIRST, POISON))).isFalse();
		crash(this.detector, 3, FIRST, POISON);
		assertThat(this.detector.refused(List.of(FIRST, POISON))).isTrue();
		this.detector.recordSuccess(List.of(FIRST, OTHER));
		assertThat(this.detector.refused(List.of(POISON))).isTrue();
		assertThat(this.detector.refused(List.of(FIRST, OTHER))).isFalse();
	}

	/** A sound part was on all upstreams that crashed, but never in a poison request. */
	@Test
	void shouldRefuseAPoisonPartAmongPartsWithTheSameCrashes() {
		this.detector.recordSuccess(List.of(FIRST));
		for (int upstream = 0; upstream < 3; upstream++) {
			crash(this.detector, upstream, FIRST, OTHER);
			crash(this.detector, upstream, FIRST, POISON);
		}
		assertThat(refuses(POISON)).isTrue();
		this.detector.recordSuccess(List.of(FIRST, OTHER));
		assertThat(refuses(OTHER)).isFalse();
		assertThat(refuses(POISON)).isTrue();
	}

	/** A part that was sound before is detected later, but is detected. */
	@Test
	void shouldRefuseAPartThatHadACompleteResponseBefore() {
		this.detector.recordSuccess(Set.of(POISON));
		this.time.advance(Duration.ofMillis(20));
		crashes(CrashAttribution.THRESHOLD_AFTER_SUCCESS - 1, POISON);
		assertThat(refuses(POISON)).isFalse();
		crash(this.detector, 100, POISON);
		assertThat(refuses(POISON)).isFalse();
		this.time.advance(CrashAttribution.CONFIRMATION_TIME);
		assertThat(refuses(POISON)).isTrue();
	}

	/** Connections were reset, but the upstreams go on. */
	@Test
	void shouldServeAPartWhoseUpstreamsAreAlive() {
		crashes(3, OTHER);
		this.alive.addAll(List.of(0, 1));
		this.time.advance(PoisonPartDetector.SETTLE_TIME);
		assertThat(refuses(OTHER)).isFalse();
	}

	private static List<Long> conversation(long first, int length, long... last) {
		return LongStream.concat(LongStream.range(first, first + length), LongStream.of(last)).boxed().toList();
	}

	/**
	 * Guards against a part that is never detected because it stands behind many others.
	 * @param before the number of parts before it
	 */
	@ParameterizedTest
	@ValueSource(ints = { 15, 16, 17, 100, 3_000 })
	void shouldRefuseAPartBehindManyOthers(int before) {
		for (int upstream = 0; upstream < 3; upstream++) {
			this.detector.recordSuccess(conversation(10_000, before));
			this.detector.recordConnectionLoss(conversation(10_000, before, POISON), upstream);
			this.detector.recordConnectionLoss(conversation(10_000, before), upstream);
		}
		assertThat(this.detector.refused(conversation(10_000, before, POISON))).isTrue();
		assertThat(this.detector.refused(conversation(10_000, before))).isFalse();
	}

	/**
	 * Guards against a part that is never detected because each request with it begins
	 * with many parts of its own, which evict the others.
	 * @param before the number of parts before it
	 */
	@ParameterizedTest
	@ValueSource(ints = { 17, 300, 1_900, 6_000 })
	void shouldRefuseAPartBehindManyThatOnlyOneRequestHas(int before) {
		int crashes = 0;
		for (long request = 1; !refuses(POISON) && request <= 12; request++) {
			crashes++;
			this.detector.recordConnectionLoss(conversation(request * 10_000, before, POISON), crashes);
			this.detector.recordConnectionLoss(conversation(1_000_000 + request * 10_000, before), crashes);
		}
		assertThat(crashes).isAtMost((before <= 1_900) ? CrashAttribution.THRESHOLD : MAX_CRASHES);
		assertThat(refuses(POISON)).isTrue();
	}

	/**
	 * Guards against a part that is never detected because requests with thousands of
	 * made-up parts evict it after each of its crashes.
	 */
	@Test
	void shouldKeepASingleCrashDespiteAFloodOfLongPrompts() {
		for (int upstream = 0; upstream < CrashAttribution.THRESHOLD; upstream++) {
			crash(this.detector, upstream, POISON);
			for (long request = 1; request <= 8; request++) {
				this.detector.recordConnectionLoss(conversation((8L * upstream + request) * 10_000, 3_000), upstream);
			}
		}
		assertThat(refuses(POISON)).isTrue();
		assertThat(this.detector.observations().size()).isAtMost(8_000);
	}

	/**
	 * Guards against a sound part that is blamed because its complete responses are
	 * forgotten while requests with many parts succeed.
	 */
	@Test
	void shouldRememberTheCompleteResponsesOfASuspect() {
		crashes(1, OTHER);
		this.detector.recordSuccess(List.of(OTHER));
		for (long request = 1; request <= 10; request++) {
			this.detector.recordSuccess(conversation(request * 10_000, 3_000));
		}
		for (int upstream = 1; upstream < CrashAttribution.THRESHOLD_AFTER_SUCCESS - 1; upstream++) {
			crash(this.detector, upstream, OTHER);
		}
		this.time.advance(CrashAttribution.CONFIRMATION_TIME);
		assertThat(refuses(OTHER)).isFalse();
	}

	@Test
	void shouldForgetOldCrashes() {
		crashes(3, POISON);
		this.time.advance(PoisonPartDetector.RETENTION);
		assertThat(refuses(POISON)).isFalse();
		assertThat(this.detector.observations()).isEmpty();
	}

	/** Each of three entries has seen one crash, and a fourth has started later. */
	@Test
	void shouldCountCrashesThatPeersHaveSeen() {
		PoisonPartDetector later = newDetector();
		for (int entry = 0; entry < 3; entry++) {
			PoisonPartDetector peer = newDetector();
			crash(peer, entry, FIRST, POISON);
			this.detector.add(peer.observations());
		}
		assertThat(this.detector.refused(List.of(FIRST, POISON))).isTrue();
		this.time.advance(Duration.ofSeconds(60));
		later.add(this.detector.observations());
		assertThat(later.refused(List.of(FIRST, POISON))).isTrue();
		this.time.advance(Duration.ofSeconds(60));
		assertThat(later.refused(List.of(FIRST, POISON))).isFalse();
	}

	/** A peer has had complete responses of a part that this process saw crash only. */
	@Test
	void shouldReceiveCompleteResponsesFromPeers() {
		PoisonPartDetector peer = newDetector();
		List<String> reports = new ArrayList<>();
		peer.onObservation(() -> reports.add("report"));
		crashes(3, OTHER);
		peer.recordSuccess(Set.of(OTHER));
		assertThat(reports).isEmpty();
		peer.add(this.detector.observations());
		assertThat(reports).hasSize(1);
		this.detector.add(peer.observations());
		assertThat(refuses(OTHER)).isFalse();
	}

	/** A caller makes up parts whose requests lose their connections. */
	@Test
	void shouldKeepCrashesDespiteAFloodOfParts() {
		crashes(3, POISON);
		LongStream.range(1_000, 9_000).forEach((part) -> this.detector.recordConnectionLoss(List.of(part), 50));
		assertThat(refuses(POISON)).isTrue();
		assertThat(this.detector.observations().get(0).part()).isEqualTo(POISON);
	}

	/** A report that states no parts beside the suspected one must not refuse all. */
	@Test
	void shouldRefuseOnlyThePartOfAReportWithoutCompanions() {
		this.detector.add(List.of(new PartObservation(POISON, 1, Set.of(), false,
				Map.of(1, Duration.ZERO, 2, Duration.ZERO, 3, Duration.ZERO), Optional.empty())));
		assertThat(refuses(POISON)).isTrue();
		assertThat(refuses(OTHER)).isFalse();
		assertThat(this.detector.refused(List.of())).isFalse();
	}

	@Test
	void shouldLeaveOutTheLastPart() {
		List<PromptSegment> prompt = List.of(new PromptSegment("a", 1), new PromptSegment("b", 2),
				new PromptSegment("own", 3));
		assertThat(PoisonPartDetector.sharedParts(prompt)).hasSize(2);
		assertThat(PoisonPartDetector.sharedParts(prompt.subList(0, 2)))
			.isEqualTo(PoisonPartDetector.sharedParts(List.of(new PromptSegment("a", 9), new PromptSegment("z", 2))));
		assertThat(PoisonPartDetector.sharedParts(List.of())).isEmpty();
	}

}
