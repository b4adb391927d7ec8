package org.ragworthook.gateway.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a stream whose origin is lost or wrong when processes stop, start or
 * miss reports.
 */
class StreamOriginReportsTests {

	private static final StreamOrigin ONE = new StreamOrigin("svc", SoftwareVersion.of("v1"));

	private static final StreamOrigin OTHER = new StreamOrigin("svc", SoftwareVersion.of("v2"));

	private static final Duration LIMIT = Duration.ofMillis(200);

	private final ManualTime time = ManualTime.of();

	private final Map<String, StreamOriginReports> processes = new LinkedHashMap<>();

	private Predicate<LoadReport> lost = (report) -> false;

	private int sent;

	private StreamOriginReports start(String name) {
		StreamOriginReports reports = new StreamOriginReports(this.time, this.time, new Network(name));
		this.processes.put(name, reports);
		return reports;
	}

	private void start(int count) {
		IntStream.range(0, count).forEach((number) -> start("p-" + number));
	}

	private Optional<StreamOrigin> find(String process, String requestId) {
		List<Optional<StreamOrigin>> found = new ArrayList<>();
		this.processes.get(process).find(requestId, found::add);
		this.time.advance(LIMIT);
		assertThat(found).hasSize(1);
		return found.get(0);
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 4, 7, 30 })
	void shouldFindTheOriginAfterTheProcessThatBeganTheStreamIsGone(int count) {
		start(count);
		this.processes.get("p-0").began("r", ONE);
		this.processes.remove("p-0");
		start("p-0");
		for (String process : List.copyOf(this.processes.keySet())) {
			assertThat(find(process, "r")).hasValue(ONE);
		}
	}

	@Test
	void shouldSendAnOriginToFewPeersBeforeTheCallerReceivesAPart() {
		start(30);
		this.processes.get("p-0").began("r", ONE);
		assertThat(this.sent).isEqualTo(3);
	}

	@ParameterizedTest
	@CsvSource({ "1, true", "2, true", "3, false" })
	void shouldAskAgainWhenReportsAreLost(int rounds, boolean found) {
		start(2);
		this.lost = (report) -> true;
		this.processes.get("p-0").began("r", ONE);
		int[] queries = new int[1];
		this.lost = (report) -> report.getOriginQueriesCount() > 0 && ++queries[0] <= rounds;
		assertThat(find("p-1", "r").isPresent()).isEqualTo(found);
	}

	/** An origin that nobody knows is answered as soon as all peers have answered. */
	@Test
	void shouldAnswerAtOnceThatNobodyKnowsTheOrigin() {
		start(5);
		List<Optional<StreamOrigin>> found = new ArrayList<>();
		this.processes.get("p-0").find("r", found::add);
		assertThat(found).containsExactly(Optional.empty());
		start("alone");
		this.processes.keySet().removeIf((name) -> !name.equals("alone"));
		assertThat(find("alone", "r")).isEmpty();
	}

	/** Two callers use the same request id, so that neither origin is certain. */
	@Test
	void shouldContinueNoStreamWithTwoOrigins() {
		start(3);
		this.processes.get("p-0").began("r", ONE);
		this.processes.get("p-1").began("r", OTHER);
		for (String process : this.processes.keySet()) {
			assertThat(find(process, "r").orElseThrow().version().known()).isFalse();
		}
	}

	@Test
	void shouldForgetOldStreams() {
		start(1);
		this.processes.get("p-0").began("r", ONE);
		this.time.advance(StreamOrigins.RETENTION.plusSeconds(1));
		this.processes.get("p-0").began("r-2", ONE);
		assertThat(find("p-0", "r")).isEmpty();
		IntStream.range(0, StreamOrigins.MAX_STREAMS).forEach((i) -> this.processes.get("p-0").began("s-" + i, ONE));
		assertThat(find("p-0", "r-2")).isEmpty();
	}

	/** Connects the processes of a test. */
	private final class Network implements StreamOriginReports.Transport {

		private final String self;

		Network(String self) {
			this.self = self;
		}

		@Override
		public List<String> livePeers() {
			return StreamOriginReportsTests.this.processes.keySet()
				.stream()
				.filter((name) -> !name.equals(this.self))
				.toList();
		}

		@Override
		public void send(Collection<String> peers, LoadReport.Builder report) {
			LoadReport received = report.setInstance(this.self).build();
			for (String peer : List.copyOf(peers)) {
				StreamOriginReportsTests.this.sent++;
				StreamOriginReports receiver = StreamOriginReportsTests.this.processes.get(peer);
				if (receiver != null && !StreamOriginReportsTests.this.lost.test(received)) {
					receiver.read(received);
				}
			}
		}

	}

}
