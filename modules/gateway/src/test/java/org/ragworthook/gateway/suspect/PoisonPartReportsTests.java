package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.wire.load.LoadReport;
import org.ragworthook.wire.load.SuspectPart;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against reports that fill the links of small instances. While upstreams reset
 * connections, hundreds of prompts lose one each; each loss sent a report of all of them
 * to every process, and requests then waited for seconds to leave an entry.
 */
class PoisonPartReportsTests {

	private static final int PARTS = 200;

	private static final long POISON = 7;

	/** A tenth of a link of 15 Mbit/s, for ten reports a second to 28 peers. */
	private static final int MAX_BYTES = 15_000_000 / 8 / 10 / 28 / 10 + 600;

	private final ManualTime time = ManualTime.of();

	private final PoisonPartDetector detector = PoisonPartDetector.empty(this.time, (upstream, nanos) -> false);

	private int flushes;

	private final PoisonPartReports reports = PoisonPartReports.of(this.detector, this.time, () -> this.flushes++);

	private LoadReport nextReport() {
		LoadReport.Builder report = LoadReport.newBuilder();
		this.reports.writeToAll(report);
		return report.build();
	}

	private void lose(int parts) {
		for (int i = 0; i < parts; i++) {
			this.detector.recordConnectionLoss(List.of(1_000L + i, 5_000L + i), i);
		}
	}

	@Test
	void shouldBoundAReportWhileManyConnectionsAreLost() {
		lose(PARTS);
		for (int i = 0; i < 50; i++) {
			assertThat(nextReport().getSerializedSize()).isAtMost(MAX_BYTES);
		}
	}

	/**
	 * Guards against reports that grow with the length of prompts, whose parts all
	 * occurred in the same requests.
	 * @param length the number of parts of a prompt
	 */
	@ParameterizedTest
	@ValueSource(ints = { 17, 100, 3_000 })
	void shouldBoundAReportOfLongPrompts(int length) {
		for (int upstream = 0; upstream < 3; upstream++) {
			this.detector.recordConnectionLoss(LongStream.range(1_000, 1_000 + length).boxed().toList(), upstream);
		}
		for (int i = 0; i < 50; i++) {
			assertThat(nextReport().getSerializedSize()).isAtMost(MAX_BYTES);
		}
	}

	/**
	 * Guards against a part that a peer refuses where it stands alone, since reports do
	 * not state all parts that it always occurred with.
	 */
	@Test
	void shouldNotForgetCompanionsThatAReportLeavesOut() {
		List<Long> prompt = LongStream.range(1_000, 1_100).boxed().toList();
		PoisonPartDetector peer = PoisonPartDetector.empty(this.time, (upstream, nanos) -> false);
		PoisonPartReports peerReports = PoisonPartReports.of(peer, this.time, () -> this.flushes++);
		for (int upstream = 0; upstream < 3; upstream++) {
			this.detector.recordConnectionLoss(prompt, upstream);
			peer.recordConnectionLoss(prompt, upstream);
		}
		for (int i = 0; i < 50; i++) {
			peerReports.read(nextReport());
		}
		assertThat(peer.refused(prompt)).isTrue();
		assertThat(peer.refused(prompt.subList(50, 100))).isFalse();
	}

	@Test
	void shouldReportAllPartsInTurn() {
		lose(PARTS);
		Set<Long> reported = new HashSet<>();
		for (int i = 0; i < 2 * PARTS / 8; i++) {
			nextReport().getSuspectPartsList().stream().map(SuspectPart::getPart).forEach(reported::add);
		}
		assertThat(reported).hasSize(2 * PARTS);
	}

	/** A part that crashes upstreams has more crashes than those it breaks off. */
	@Test
	void shouldReportThePartWithTheMostCrashesEachTime() {
		lose(PARTS);
		for (int upstream = 0; upstream < 3; upstream++) {
			this.detector.recordConnectionLoss(List.of(POISON), upstream);
		}
		for (int i = 0; i < 20; i++) {
			assertThat(nextReport().getSuspectPartsList().stream().map(SuspectPart::getPart).toList()).contains(POISON);
		}
	}

	/** The next periodic report must not be left out because the loads are unchanged. */
	@Test
	void shouldAskForAReportUntilItIsWritten() {
		assertThat(this.reports.hasChanges()).isFalse();
		lose(1);
		assertThat(this.reports.hasChanges()).isTrue();
		nextReport();
		assertThat(this.reports.hasChanges()).isFalse();
		this.time.advance(Duration.ofMillis(100));
		this.detector.recordSuccess(List.of(1_000L));
		assertThat(this.reports.hasChanges()).isTrue();
	}

	/** In a quiet fleet the parts that wait for their turn would come seconds later. */
	@Test
	void shouldAskForReportsUntilAllPartsWereWritten() {
		lose(20);
		Set<Long> reported = new HashSet<>();
		while (this.reports.hasChanges()) {
			nextReport().getSuspectPartsList().stream().map(SuspectPart::getPart).forEach(reported::add);
		}
		assertThat(reported).hasSize(40);
	}

	/** The first crash counts at once; many crashes must not cause a report each. */
	@Test
	void shouldReportCrashesAtOnceButNotEachOfMany() {
		lose(1);
		assertThat(this.flushes).isEqualTo(1);
		lose(PARTS);
		assertThat(this.flushes).isEqualTo(1);
		this.time.advance(Duration.ofMillis(100));
		lose(PARTS);
		assertThat(this.flushes).isEqualTo(2);
	}

	/** Peers that do not learn of a complete response refuse sound requests for 120 s. */
	@Test
	void shouldReportEachContradictedPart() {
		lose(PARTS);
		this.time.advance(Duration.ofMillis(500));
		for (int i = 0; i < 50; i++) {
			this.detector.recordSuccess(List.of(1_000L + i));
		}
		Set<Long> cleared = new HashSet<>();
		for (int i = 0; i < 20; i++) {
			this.time.advance(Duration.ofMillis(100));
			nextReport().getSuspectPartsList()
				.stream()
				.filter((part) -> part.getUpstreamsCount() == 0)
				.map(SuspectPart::getPart)
				.forEach(cleared::add);
		}
		assertThat(cleared).hasSize(50);
	}

	/** A report to one peer is sent for each request of a caller. */
	@Test
	void shouldLeaveThePartsOutOfReportsToSinglePeers() {
		lose(PARTS);
		LoadReport.Builder report = LoadReport.newBuilder();
		this.reports.write(report);
		assertThat(report.getSuspectPartsCount()).isEqualTo(0);
	}

}
