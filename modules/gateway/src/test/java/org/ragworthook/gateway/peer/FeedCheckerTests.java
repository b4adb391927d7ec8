package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.wire.load.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Which process of a fleet checks a collection for all.
 */
class FeedCheckerTests {

	private static final int PROCESSES = 5;

	private static final String FEED = "config";

	private final ManualTime time = ManualTime.of();

	private final List<Process> fleet = new ArrayList<>();

	private long sequence;

	FeedCheckerTests() {
		for (int i = 0; i < PROCESSES; i++) {
			this.fleet.add(new Process(i));
		}
		this.time.advance(Duration.ofSeconds(2));
	}

	/**
	 * Guards against calls of the store that grow with the fleet.
	 */
	@Test
	void shouldCheckAtOneProcess() {
		exchange();
		assertThat(checkers()).hasSize(1);
	}

	/**
	 * Guards against a fleet without checks after the process that checks has lost the
	 * store, leaves or is not heard any more.
	 */
	@Test
	void shouldCheckAtAnotherProcessIfOneCannot() {
		exchange();
		Process lost = checkers().get(0);
		lost.storeUp = false;
		exchange();
		List<Process> next = checkers();
		assertThat(next).hasSize(1);
		assertThat(next).doesNotContain(lost);
		next.get(0).view.leave();
		exchange();
		assertThat(checkers()).hasSize(1);
		assertThat(checkers()).containsNoneOf(lost, next.get(0));
		this.fleet.remove(checkers().get(0));
		this.time.advance(Duration.ofSeconds(2));
		exchange();
		assertThat(checkers()).hasSize(1);
	}

	/**
	 * Guards against a fleet without checks because the process with the highest score
	 * runs the version before, which does not check.
	 */
	@Test
	void shouldCheckBesideAProcessOfTheVersionBefore() {
		exchange();
		Process old = checkers().get(0);
		old.statesChecks = false;
		exchange();
		assertThat(checkers()).hasSize(2);
		this.fleet.remove(old);
		assertThat(checkers()).hasSize(1);
	}

	/**
	 * Guards against an entry that no peer is heard by and that checks nothing.
	 */
	@Test
	void shouldCheckWithoutPeers() {
		assertThat(checkers()).hasSize(PROCESSES);
	}

	/**
	 * Guards against a stop of the last process during which nothing shows that its
	 * watches are lost.
	 */
	@Test
	void shouldCheckDuringAStopIfNobodyElseDoes() {
		this.fleet.forEach((process) -> process.view.leave());
		exchange();
		assertThat(checkers()).hasSize(PROCESSES);
	}

	/**
	 * Guards against checks by all processes of a fleet that has just started.
	 */
	@Test
	void shouldNotCheckBeforePeersHaveReported() {
		this.fleet.clear();
		this.fleet.add(new Process(9));
		assertThat(checkers()).isEmpty();
	}

	/**
	 * Guards against a fleet without checks while the process with the highest score
	 * starts: it states that it can check, and does not before it is settled.
	 */
	@Test
	void shouldCheckAtAnotherProcessUntilAStartedOneIsSettled() {
		exchange();
		Process restarted = checkers().get(0);
		this.fleet.remove(restarted);
		this.time.advance(Duration.ofSeconds(2));
		exchange();
		this.fleet.add(new Process(restarted.self.address().port() - 1));
		exchange();
		assertThat(checkers()).hasSize(1);
		this.time.advance(Duration.ofSeconds(2));
		exchange();
		exchange();
		assertThat(checkers()).hasSize(1);
	}

	private List<Process> checkers() {
		return this.fleet.stream().filter((process) -> process.view.checksHere(FEED)).toList();
	}

	private void exchange() {
		this.sequence++;
		for (Process sender : this.fleet) {
			LoadReport report = sender.report(this.sequence);
			this.fleet.stream()
				.filter((receiver) -> receiver != sender)
				.forEach((receiver) -> receiver.peers.accept(report, this.time.nanos()));
		}
	}

	private final class Process {

		private final PeerIdentity self;

		private final PeerTable peers = new PeerTable(FeedCheckerTests.this.time);

		private final FleetView view;

		private boolean storeUp = true;

		private boolean statesChecks = true;

		Process(int number) {
			this.self = new PeerIdentity("entry-" + number, 1, new Address("127.0.0.1", 1 + number), false);
			this.view = new FleetView(FeedCheckerTests.this.time, this.peers, this.self);
			this.view.checksFeeds(() -> this.storeUp);
		}

		LoadReport report(long number) {
			return LoadReport.newBuilder()
				.setInstance(this.self.instance())
				.setStartedMillis(this.self.startedMillis())
				.setSequence(number)
				.setHost(this.self.address().host())
				.setPort(this.self.address().port())
				.setChecksFeeds(this.statesChecks && this.view.checksFeeds())
				.setLeaving(this.view.leaving())
				.build();
		}

	}

}
