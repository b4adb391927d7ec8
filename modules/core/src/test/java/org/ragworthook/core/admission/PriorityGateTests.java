package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PriorityGate}.
 */
class PriorityGateTests {

	private final ManualTime time = ManualTime.of();

	private static RunKey run(String name) {
		return RunKey.of(name, 1);
	}

	private static Offer offer(String name) {
		return Offer.of(run(name));
	}

	private static GateAction start(String name) {
		return new GateAction.Start(run(name));
	}

	private static GateAction cancel(String name) {
		return new GateAction.Cancel(run(name));
	}

	private static GateAction refuse(String name, GateAction.Reason reason) {
		return new GateAction.Refuse(run(name), reason);
	}

	private PriorityGate.Builder gate(int limit, int headroom) {
		return PriorityGate.builder(this.time)
			.limit(ConcurrencyLimit.fixed(limit))
			.headroom(headroom)
			.queueLimits(4, 4);
	}

	@ParameterizedTest
	@CsvSource({ "1, 1, 1", "2, 1, 1", "8, 0, 8", "8, 2, 6", "8, 20, 1" })
	void shouldLeaveHeadroomFreeOfBatch(int limit, int headroom, int batchSlots) {
		PriorityGate gate = PriorityGate.builder(this.time)
			.limit(ConcurrencyLimit.fixed(limit))
			.headroom(headroom)
			.build();
		for (int i = 0; i < 16; i++) {
			gate.offerBatch(offer("b" + i));
		}
		assertThat(gate.load().batchRunning()).isEqualTo(batchSlots);
		assertThat(gate.load().batchQueued()).isEqualTo(16 - batchSlots);
	}

	/**
	 * All slots run batch requests when an online request arrives. Without preemption the
	 * caller would wait many seconds for a batch request to end.
	 */
	@Test
	void shouldCancelYoungestBatchForOnlineArrival() {
		PriorityGate gate = gate(2, 0).build();
		gate.offerBatch(offer("old"));
		gate.offerBatch(offer("young"));
		gate.offerBatch(offer("waiting"));
		assertThat(gate.offerOnline(offer("caller"))).containsExactly(cancel("young"));
		assertThat(gate.preempted(run("young"))).containsExactly(start("caller"));
		assertThat(gate.finished(run("caller"), RunOutcome.ANSWERED, 10)).containsExactly(start("waiting"));
	}

	@Test
	void shouldCancelOneBatchRunForEachWaitingOnlineRequest() {
		PriorityGate gate = gate(3, 0).build();
		List.of("b0", "b1", "b2").forEach((name) -> gate.offerBatch(offer(name)));
		assertThat(gate.offerOnline(offer("o0"))).containsExactly(cancel("b2"));
		assertThat(gate.offerOnline(offer("o1"))).containsExactly(cancel("b1"));
		assertThat(gate.finished(run("b0"), RunOutcome.ANSWERED, 1)).containsExactly(start("o0"));
		assertThat(gate.preempted(run("b2"))).containsExactly(start("o1"));
		assertThat(gate.preempted(run("b1"))).isEmpty();
	}

	/**
	 * A batch request that is not idempotent is running. Once cancelled it could not be
	 * run again, and its outcome would be unknown.
	 */
	@Test
	void shouldNotCancelBatchThatIsNotIdempotent() {
		PriorityGate gate = gate(2, 0).build();
		gate.offerBatch(offer("repeatable"));
		gate.offerBatch(offer("once").notPreemptible());
		assertThat(gate.offerOnline(offer("o0"))).containsExactly(cancel("repeatable"));
		assertThat(gate.offerOnline(offer("o1"))).isEmpty();
		assertThat(gate.preempted(run("repeatable"))).containsExactly(start("o0"));
		assertThat(gate.finished(run("once"), RunOutcome.ANSWERED, 0)).containsExactly(start("o1"));
	}

	@Test
	void shouldStartOnlineBeforeEarlierBatch() {
		PriorityGate gate = gate(1, 0).build();
		gate.offerOnline(offer("first"));
		gate.offerBatch(offer("batch"));
		gate.offerOnline(offer("second"));
		assertThat(gate.finished(run("first"), RunOutcome.ANSWERED, 1)).containsExactly(start("second"));
	}

	@Test
	void shouldRefuseWhenQueueIsFull() {
		PriorityGate gate = gate(1, 0).build();
		for (int i = 0; i < 5; i++) {
			gate.offerOnline(offer("o" + i));
		}
		assertThat(gate.offerOnline(offer("more"))).containsExactly(refuse("more", GateAction.Reason.QUEUE_FULL));
	}

	@Test
	void shouldReportRoomForBatch() {
		PriorityGate gate = gate(1, 0).build();
		gate.offerBatch(offer("running"));
		gate.offerBatch(offer("waiting"));
		assertThat(gate.load()).isEqualTo(new GateLoad(0, 1, 0, 1, 1, 3));
	}

	/**
	 * The deadline of a waiting request passes. Running it would use a slot for an answer
	 * that nobody reads.
	 */
	@Test
	void shouldRefuseWaitingRequestWhoseDeadlinePassed() {
		PriorityGate gate = gate(1, 0).build();
		gate.offerOnline(offer("running"));
		gate.offerOnline(offer("late").withDeadline(this.time.nanos() + 1_000));
		this.time.advance(Duration.ofMillis(1));
		assertThat(gate.sweep()).containsExactly(refuse("late", GateAction.Reason.DEADLINE_PASSED));
	}

	/**
	 * The caller of a waiting request disconnects. The next free slot must go to the
	 * request behind it.
	 */
	@Test
	void shouldRemoveWithdrawnRequest() {
		PriorityGate gate = gate(1, 0).build();
		gate.offerOnline(offer("running"));
		gate.offerOnline(offer("gone"));
		gate.offerOnline(offer("next"));
		assertThat(gate.withdraw(run("gone"))).isTrue();
		assertThat(gate.withdraw(run("running"))).isFalse();
		assertThat(gate.finished(run("running"), RunOutcome.CANCELLED, 0)).containsExactly(start("next"));
	}

	/**
	 * The request was at an engine that crashed. If it ran concurrently with others and
	 * crashed the next engine too, their callers would lose their answers again.
	 */
	@Test
	void shouldRunExclusiveRequestAlone() {
		PriorityGate gate = gate(4, 0).build();
		gate.offerOnline(offer("innocent"));
		gate.offerBatch(offer("batch"));
		assertThat(gate.offerOnline(offer("suspect").asExclusive())).isEmpty();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(gate.sweep()).containsExactly(cancel("batch"));
		assertThat(gate.offerOnline(offer("other")))
			.containsExactly(refuse("other", GateAction.Reason.RESERVED_FOR_SUSPECT));
		assertThat(gate.preempted(run("batch"))).isEmpty();
		assertThat(gate.finished(run("innocent"), RunOutcome.ANSWERED, 1)).containsExactly(start("suspect"));
		gate.offerBatch(offer("later"));
		assertThat(gate.load().batchRunning()).isEqualTo(0);
		assertThat(gate.finished(run("suspect"), RunOutcome.FAILED, 0)).containsExactly(start("later"));
	}

	@Test
	void shouldRunExclusiveRequestImmediatelyOnIdleEngine() {
		assertThat(gate(4, 0).build().offerOnline(offer("suspect").asExclusive())).containsExactly(start("suspect"));
	}

	/**
	 * The sidecar is draining: running online requests must finish, batch requests are
	 * returned, and new requests are refused.
	 */
	@Test
	void shouldReturnAllButRunningOnlineRequestsWhenDraining() {
		PriorityGate gate = gate(2, 0).build();
		gate.offerOnline(offer("running"));
		gate.offerBatch(offer("batch"));
		gate.offerBatch(offer("waiting"));
		assertThat(gate.drain()).containsExactly(refuse("waiting", GateAction.Reason.DRAINING), cancel("batch"));
		assertThat(gate.offerOnline(offer("new"))).containsExactly(refuse("new", GateAction.Reason.DRAINING));
		gate.preempted(run("batch"));
		assertThat(gate.idle()).isFalse();
		gate.finished(run("running"), RunOutcome.ANSWERED, 1);
		assertThat(gate.idle()).isTrue();
	}

	@ParameterizedTest
	@EnumSource(GatePolicy.class)
	void shouldStartFirstRequestUnderEveryPolicy(GatePolicy policy) {
		EngineGate gate = policy.createGate(this.time, ConcurrencyLimit.fixed(4), 1, 8);
		assertThat(gate.offerOnline(offer("a"))).containsExactly(start("a"));
		assertThat(gate.offerBatch(offer("b"))).containsExactly(start("b"));
		gate.finished(run("a"), RunOutcome.ANSWERED, 1);
		gate.finished(run("b"), RunOutcome.ANSWERED, 1);
		assertThat(gate.idle()).isTrue();
	}

	@Test
	void shouldNotPreemptInArrivalOrder() {
		EngineGate gate = GatePolicy.parse("arrival-order").createGate(this.time, ConcurrencyLimit.fixed(1), 0, 2);
		gate.offerBatch(offer("b0"));
		gate.offerBatch(offer("b1"));
		assertThat(gate.offerBatch(offer("b2"))).containsExactly(refuse("b2", GateAction.Reason.QUEUE_FULL));
		assertThat(gate.offerOnline(offer("o"))).containsExactly(start("o"));
	}

}
