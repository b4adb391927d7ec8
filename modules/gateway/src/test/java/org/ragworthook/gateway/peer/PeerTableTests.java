package org.ragworthook.gateway.peer;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which senders of reports are known.
 */
class PeerTableTests {

	private final ManualTime time = ManualTime.of();

	private final PeerTable peers = new PeerTable(this.time);

	/**
	 * Guards against a process that hears no new peer any more once its former peers,
	 * each with an address of its own, have filled the table.
	 */
	@Test
	void shouldAcceptANewPeerAfterManyFormerOnes() {
		for (int port = 1; port <= 1_500; port++) {
			accept(port);
			this.time.advance(Duration.ofMinutes(1));
		}
		assertThat(accept(2_000)).isTrue();
		assertThat(this.peers.liveReports()).hasSize(1);
		assertThat(this.peers.all().size()).isAtMost(1_000);
	}

	private boolean accept(int port) {
		LoadReport report = LoadReport.newBuilder()
			.setInstance("p-" + port)
			.setStartedMillis(1)
			.setSequence(1)
			.setHost("10.0.0.1")
			.setPort(port)
			.build();
		return this.peers.accept(report, this.time.nanos()).isPresent();
	}

}
