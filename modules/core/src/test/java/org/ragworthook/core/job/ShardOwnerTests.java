package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Stamps;

import static com.google.common.truth.Truth.assertThat;

class ShardOwnerTests {

	private final JobWorld world = new JobWorld(8);

	private final JobWorld.Entry entry = this.world.entry("a").start();

	private JobId submit(String content) {
		JobId id = this.entry.submit("k", content).join().id();
		this.world.seconds(2);
		return id;
	}

	private Map<String, Long> ends(JobId id) {
		return this.world.results(id)
			.stream()
			.collect(Collectors.groupingBy((result) -> result.end().name(), Collectors.counting()));
	}

	@Test
	void shouldCompleteEveryItemOnce() {
		JobId id = submit(JobWorld.lines(1200));
		JobRecord job = this.world.runToEnd(id);
		assertThat(job.status()).isEqualTo(JobStatus.COMPLETED);
		assertThat(job.counts()).isEqualTo(new JobCounts(1200, 0, 0));
		assertThat(this.world.sidecars.allStarts()).isEqualTo(1200);
		List<String> output = this.world.read(id, FileId.Content.OUTPUT);
		assertThat(output).hasSize(1200);
		assertThat(output.get(7)).isEqualTo("{\"id\":\"batch_req_" + id.hex()
				+ "-0-7\",\"custom_id\":\"i7\",\"response\":{\"status_code\":200,\"request_id\":\"batch_req_" + id.hex()
				+ "-0-7\",\"body\":{\"echo\":\"i7\"}},\"error\":null}");
		assertThat(this.world.read(id, FileId.Content.ERRORS)).isEmpty();
	}

	@Test
	void shouldStayWithinBudgetOfStoreCalls() {
		this.world.seconds(10);
		int callsBefore = this.entry.faulty.calls().size();
		JobId id = this.entry.submit("k", JobWorld.lines(10_000)).join().id();
		while (!this.world.record(id).status().ended()) {
			this.world.sidecars.run(FakeSidecars::answer);
		}
		int calls = this.entry.faulty.calls().size() - callsBefore;
		assertThat(calls).isAtMost(10 * 30);
	}

	@Test
	void shouldNotSendMoreThanFreeSlots() {
		submit(JobWorld.lines(100));
		assertThat(this.world.sidecars.runningCount()).isEqualTo(8);
	}

	// Guards against a job that never ends because an upstream keeps failing one item.
	// The item must end with an error after a bounded number of attempts.
	@ParameterizedTest
	@ValueSource(ints = { 429, 500, 503 })
	void shouldEndItemAfterBoundedAttempts(int status) {
		JobId id = submit(JobWorld.lines(3));
		for (int round = 0; round < 60; round++) {
			this.world.sidecars.run((request) -> (request.id().index() == 1)
					? new ItemOutcome.Answered(status, "{\"error\":1}") : FakeSidecars.answer(request));
			this.world.seconds(1);
		}
		assertThat(ends(id)).containsExactly("COMPLETED", 2L, "FAILED", 1L);
		assertThat(this.world.sidecars.allStarts()).isEqualTo(2 + BatchPolicy.standard().maxAttempts());
		assertThat(this.world.read(id, FileId.Content.ERRORS).get(0)).contains("\"status_code\":" + status);
	}

	@Test
	void shouldNotRetryItemThatTheUpstreamRejects() {
		JobId id = submit(JobWorld.lines(1));
		this.world.sidecars.run((request) -> new ItemOutcome.Answered(400, "not json\nat all"));
		assertThat(ends(id)).containsExactly("FAILED", 1L);
		assertThat(this.world.sidecars.allStarts()).isEqualTo(1);
		assertThat(this.world.read(id, FileId.Content.ERRORS)).hasSize(1);
	}

	// Guards against blaming items that ran beside one that crashes its upstreams. They
	// must complete; only the crashing item ends as poisoned.
	@Test
	void shouldPoisonOnlyTheItemThatCrashesAlone() {
		JobId id = submit(JobWorld.lines(8));
		for (int round = 0; round < 40; round++) {
			this.world.sidecars.run((request) -> {
				boolean culprit = request.id().index() == 3;
				if (!request.isolated()) {
					return new ItemOutcome.Crashed(8);
				}
				return culprit ? new ItemOutcome.Crashed(1) : FakeSidecars.answer(request);
			});
			this.world.seconds(1);
		}
		assertThat(ends(id)).containsExactly("COMPLETED", 7L, "POISONED", 1L);
	}

	@Test
	void shouldResumeYieldedItemFromItsText() {
		JobId id = submit(JobWorld.lines(1));
		this.world.sidecars.end(0, (request) -> new ItemOutcome.Yielded("so far", 2));
		ItemRequest again = this.world.sidecars.requests().get(1);
		assertThat(again.resume()).hasValue(new ResumePoint(0, "so far", 2));
		assertThat(again.attempt()).isEqualTo(2);
		assertThat(this.world.runToEnd(id).counts().completed()).isEqualTo(1);
	}

	@Test
	void shouldRetryItemThatWasNotPassedOn() {
		JobId id = submit(JobWorld.line("once", false));
		this.world.sidecars.end(0, (request) -> new ItemOutcome.NotPassedOn(Duration.ofMillis(300)));
		assertThat(this.world.sidecars.runningCount()).isEqualTo(0);
		this.world.seconds(1);
		assertThat(this.world.sidecars.runningCount()).isEqualTo(1);
		assertThat(this.world.runToEnd(id).counts().completed()).isEqualTo(1);
	}

	// Guards against running a non-idempotent item, such as a booking, a second time
	// after its upstream was lost. It must end with an unknown outcome, so that the
	// caller can check.
	@Test
	void shouldNotRepeatNonIdempotentItem() {
		JobId id = submit(JobWorld.line("once", false) + "\n" + JobWorld.line("again", true));
		this.world.sidecars.run((request) -> (request.item().idempotent() && request.attempt() > 1)
				? FakeSidecars.answer(request) : new ItemOutcome.Broken("upstream lost"));
		this.world.seconds(2);
		this.world.runToEnd(id);
		assertThat(ends(id)).containsExactly("COMPLETED", 1L, "OUTCOME_UNKNOWN", 1L);
		assertThat(this.world.read(id, FileId.Content.ERRORS).get(0)).contains("\"code\":\"outcome_unknown\"");
	}

	@Test
	void shouldRecordStartBeforeSendingNonIdempotentItem() {
		this.entry.faulty
			.plan((call) -> (call.kind() == Kind.RESULT && call.verb().equals("update")) ? Fault.REFUSED : Fault.NONE);
		submit(JobWorld.line("once", false));
		assertThat(this.world.sidecars.allStarts()).isEqualTo(0);
		this.entry.faulty.plan(Fault.NONE);
		this.world.seconds(2);
		assertThat(this.world.sidecars.allStarts()).isEqualTo(1);
	}

	// Guards against lost or duplicate results when the results of one chunk do not fit
	// into one record.
	@Test
	void shouldMoveResultsThatDoNotFitIntoOneRecord() {
		JobId id = submit(JobWorld.lines(300));
		String text = "x".repeat(9_000);
		this.world.sidecars.run((request) -> new ItemOutcome.Answered(200, "{\"t\":\"" + text + "\"}"));
		assertThat(this.world.runToEnd(id).counts().completed()).isEqualTo(300);
		assertThat(new HashSet<>(this.world.read(id, FileId.Content.OUTPUT))).hasSize(300);
	}

	@Test
	void shouldFailItemWhoseAnswerIsTooLarge() {
		JobId id = submit(JobWorld.lines(2));
		this.world.sidecars.run((request) -> (request.id().index() == 0)
				? new ItemOutcome.Answered(200, "\"" + "x".repeat(900_000) + "\"") : FakeSidecars.answer(request));
		this.world.runToEnd(id);
		assertThat(ends(id)).containsExactly("COMPLETED", 1L, "FAILED", 1L);
	}

	// Guards against items that start after a cancellation was acknowledged, and against
	// the loss of results written before.
	@Test
	void shouldStopWhenCancelled() {
		JobId id = submit(JobWorld.lines(600));
		for (int item = 0; item < 20; item++) {
			this.world.sidecars.end(0, FakeSidecars::answer);
		}
		this.entry.cancel(id).join();
		int starts = this.world.sidecars.allStarts();
		this.world.seconds(2);
		assertThat(this.world.sidecars.runningCount()).isEqualTo(0);
		JobRecord job = this.world.runToEnd(id);
		assertThat(this.world.sidecars.allStarts()).isEqualTo(starts);
		assertThat(job.status()).isEqualTo(JobStatus.CANCELLED);
		assertThat(ends(id)).containsExactly("COMPLETED", 20L, "CANCELLED", 580L);
		assertThat(this.world.read(id, FileId.Content.OUTPUT)).hasSize(20);
	}

	@Test
	void shouldRefuseCancelOfEndedJobAndOfAnotherAccount() {
		JobId id = submit(JobWorld.lines(3));
		this.world.runToEnd(id);
		JobException ended = (JobException) Failures
			.root(this.entry.cancel(id).handle((value, failure) -> failure).join());
		assertThat(ended.code()).isEqualTo(ErrorCode.JOB_ENDED);
		JobException foreign = (JobException) Failures
			.root(JobCanceller.of(this.world.store, Stamps.of("x"), this.world.clock)
				.cancel("other", id)
				.handle((value, failure) -> failure)
				.join());
		assertThat(foreign.code()).isEqualTo(ErrorCode.JOB_NOT_FOUND);
	}

	// Guards against slow failover and lost items after a planned release: another entry
	// must continue within a second.
	@Test
	void shouldHandOverWithinOneSecond() {
		JobId id = submit(JobWorld.lines(40));
		JobWorld.Entry other = this.world.entry("b").start();
		this.world.sidecars.end(0, FakeSidecars::answer);
		this.entry.runner.releaseShards();
		this.world.time.advance(Duration.ofMillis(50));
		this.entry.crash();
		this.world.time.advance(Duration.ofMillis(950));
		assertThat(other.runner.shards()).containsExactly(0);
		assertThat(this.world.sidecars.runningCount()).isEqualTo(8);
		assertThat(this.world.runToEnd(id).counts().completed()).isEqualTo(40);
	}

	// Guards against recalling a running non-idempotent item at a planned release:
	// nobody could tell whether it was carried out.
	@Test
	void shouldWaitForNonIdempotentItemWhenReleasing() {
		JobId id = submit(JobWorld.line("once", false));
		this.entry.runner.releaseShards();
		this.world.seconds(1);
		assertThat(this.entry.runner.shards()).containsExactly(0);
		this.world.sidecars.end(0, FakeSidecars::answer);
		this.world.seconds(1);
		assertThat(this.entry.runner.shards()).isEmpty();
		this.entry.crash();
		assertThat(this.world.entry("b").start().runner.shards()).containsExactly(0);
		assertThat(this.world.runToEnd(id).counts().completed()).isEqualTo(1);
	}

	// Guards against losing or repeating work when the store is unavailable for an hour
	// while items run: their results must be written afterwards.
	@Test
	void shouldKeepResultsDuringStoreOutage() {
		JobId id = submit(JobWorld.lines(40));
		this.entry.faulty.plan(Fault.REFUSED);
		this.world.sidecars.run(FakeSidecars::answer);
		int starts = this.world.sidecars.allStarts();
		this.world.time.advance(Duration.ofHours(1));
		assertThat(this.world.sidecars.allStarts()).isEqualTo(starts);
		this.entry.faulty.plan(Fault.NONE);
		this.world.seconds(40);
		assertThat(this.world.runToEnd(id).counts()).isEqualTo(new JobCounts(40, 0, 0));
		assertThat(this.world.sidecars.allStarts()).isEqualTo(40);
	}

	@Test
	void shouldDeleteJobAfterRetention() {
		JobId id = submit(JobWorld.lines(3));
		this.world.runToEnd(id);
		JobGarbageCollector collector = JobGarbageCollector.of(this.world.store, Stamps.of("c"), this.world.clock,
				Duration.ofDays(7), Duration.ofHours(6));
		collector.sweep(0).join();
		assertThat(this.world.read(id, FileId.Content.OUTPUT)).hasSize(3);
		this.entry.crash();
		this.world.time.advance(Duration.ofDays(8));
		collector.sweep(0).join();
		assertThat(this.world.store.read(id.key()).join()).isEmpty();
		assertThat(this.world.store.list(Kind.RESULT, Labels.empty()).join().objects()).isEmpty();
	}

	@Test
	void shouldShareByWeightAndRaiseUrgentJobs() {
		StrideScheduler scheduler = new StrideScheduler((account) -> account.equals("heavy") ? 3 : 1);
		scheduler.retain(Set.of("heavy", "light", "urgent"));
		Map<String, Integer> sent = new HashMap<>();
		for (int item = 0; item < 800; item++) {
			String next = List.of("heavy", "light", "urgent")
				.stream()
				.min(Comparator.comparingDouble(scheduler::pass))
				.orElseThrow();
			scheduler.sent(next, next.equals("urgent") ? 4 : 1);
			sent.merge(next, 1, Integer::sum);
		}
		assertThat(sent.get("heavy")).isIn(Range.closed(298, 302));
		assertThat(sent.get("urgent")).isIn(Range.closed(398, 402));
	}

	@Test
	void shouldIncreaseUrgencyNearDueTime() {
		assertThat(Urgency.of(0, 400, 1000)).isEqualTo(1.0);
		assertThat(Urgency.of(0, 750, 1000)).isEqualTo(8.5);
		assertThat(Urgency.of(0, 2000, 1000)).isEqualTo(16.0);
		assertThat(Urgency.of(1000, 0, 1000)).isEqualTo(16.0);
	}

}
