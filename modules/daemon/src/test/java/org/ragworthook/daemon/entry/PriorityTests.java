package org.ragworthook.daemon.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.daemon.fake.Caller;
import org.ragworthook.daemon.fake.FakeCall;
import org.ragworthook.daemon.fake.FakeUpstream;
import org.ragworthook.daemon.sidecar.SidecarProcess;
import org.ragworthook.wire.message.Cancel;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.FenceItems;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Item;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Outcome;
import org.ragworthook.wire.message.Output;
import org.ragworthook.wire.message.Run;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the priority of online requests over batch items on one upstream.
 */
class PriorityTests {

	private final TestFleet fleet = new TestFleet();

	private final TestFleet.TestEntry entry = this.fleet.entry();

	private final Caller caller = this.entry.caller();

	private final FakeUpstream upstream = this.fleet.upstream();

	private final BatchListener batch = new BatchListener();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private SidecarProcess startSidecar(int limit) {
		SidecarProcess sidecar = this.fleet.sidecar("desk", this.upstream, limit, Duration.ofSeconds(20));
		this.fleet.list("desk", sidecar.linkAddress());
		TestFleet.await(() -> sidecar().accepts(Lane.LANE_BATCH));
		return sidecar;
	}

	private Sidecar sidecar() {
		return this.entry.directory().sidecars().get(0);
	}

	private static Run.Builder item(int index, long epoch) {
		return Run.newBuilder()
			.setRequest("job-1/0/" + index)
			.setAttempt(1)
			.setMethod("POST")
			.setPath("/v1/chat/completions")
			.setContentType("application/json")
			.setBody(ByteString
				.copyFromUtf8("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"item\"}]}"))
			.setRepeatable(true)
			.setAnswerId("item-" + index)
			.setItem(Item.newBuilder().setJob("job-1").setIndex(index).setShard(3).setEpoch(epoch));
	}

	private void send(Run.Builder item) {
		assertThat(sidecar().start(Lane.LANE_BATCH, item.build(), this.batch)).isTrue();
	}

	/**
	 * A burst of online requests arrives while the upstream is full of batch items, none
	 * of which ends by itself. Each online request must get a slot, and each preempted
	 * item must return the text that it has generated.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 8 })
	void shouldPreemptBatchForOnlineBurst(int burst) {
		startSidecar(8);
		for (int i = 0; i < 7; i++) {
			send(item(i, 1));
			this.upstream.next().greet().tokens("a", "b");
		}
		List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
		for (int i = 0; i < burst; i++) {
			answers.add(this.caller.chat("caller " + i, false));
		}
		for (int i = 0; i < burst; i++) {
			FakeCall call = this.upstream.next();
			assertThat(call.body()).contains("caller");
			call.greet().tokens("x").finish();
		}
		answers.forEach((answer) -> assertThat(Caller.await(answer).statusCode()).isEqualTo(200));
		// One slot was free as headroom, and a slot that an online request has left may
		// serve the next one.
		int yielded = this.batch.results.size();
		assertThat(yielded).isAtMost(burst - 1);
		for (int i = 0; i < yielded; i++) {
			Done done = this.batch.next();
			assertThat(done.getOutcome()).isEqualTo(Outcome.OUTCOME_YIELDED);
			assertThat("ab").startsWith(done.getText());
		}
	}

	@Test
	void shouldResumePreemptedItem() {
		startSidecar(2);
		send(item(0, 1));
		FakeCall running = this.upstream.next().greet().tokens("a", "b");
		this.batch.awaitTokens(2);
		CompletableFuture<HttpResponse<String>> first = this.caller.chat("caller 1", false);
		FakeCall firstCall = this.upstream.next();
		CompletableFuture<HttpResponse<String>> second = this.caller.chat("caller 2", false);
		running.awaitClosed();
		FakeCall secondCall = this.upstream.next();
		Done done = this.batch.next();
		assertThat(done.getOutcome()).isEqualTo(Outcome.OUTCOME_YIELDED);
		assertThat(done.getText()).isEqualTo("ab");
		send(item(0, 1).setAttempt(2).setResumeText(done.getText()).setResumeTokens(done.getTokens()));
		firstCall.greet().tokens("x").finish();
		secondCall.greet().tokens("x").finish();
		Caller.await(first);
		Caller.await(second);
		FakeCall resumed = this.upstream.next();
		assertThat(resumed.resumed()).isEqualTo("ab");
		resumed.tokens("c").finish();
		assertThat(this.batch.next().getText()).isEqualTo("abc");
	}

	/**
	 * The owner of a batch shard was paused and another entry has taken the shard over.
	 * Items that the old owner still sends must not run.
	 */
	@Test
	void shouldNotRunItemsOfOlderEpoch() {
		startSidecar(4);
		send(item(0, 2));
		this.upstream.next();
		send(item(1, 1));
		assertThat(this.batch.next().getOutcome()).isEqualTo(Outcome.OUTCOME_FENCED);
		assertThat(this.upstream.count()).isEqualTo(1);
	}

	/**
	 * A new owner fences its shard before it sends items. Items of the old owner that run
	 * or wait must end; otherwise they would occupy the slots that the new owner's items
	 * need.
	 */
	@Test
	void shouldStopFencedItems() {
		startSidecar(2);
		send(item(0, 1));
		FakeCall running = this.upstream.next();
		send(item(1, 1));
		sidecar().send(Lane.LANE_BATCH,
				Frame.newBuilder().setFenceItems(FenceItems.newBuilder().setShard(3).setEpoch(2)).build());
		running.awaitClosed();
		assertThat(List.of(this.batch.next().getOutcome(), this.batch.next().getOutcome()))
			.containsExactly(Outcome.OUTCOME_CANCELLED, Outcome.OUTCOME_NOT_PASSED_ON);
	}

	/**
	 * A job is cancelled while some of its items run and others wait. All of them must
	 * end.
	 */
	@Test
	void shouldStopItemsOfCancelledJob() {
		startSidecar(2);
		send(item(0, 1));
		FakeCall running = this.upstream.next();
		send(item(1, 1));
		sidecar().send(Lane.LANE_BATCH, Frame.newBuilder().setCancel(Cancel.newBuilder().setJob("job-1")).build());
		running.awaitClosed();
		this.batch.next();
		this.batch.next();
		assertThat(this.upstream.count()).isEqualTo(1);
	}

	/**
	 * A sidecar is stopped while batch items run and wait there. The items must be
	 * returned with the text generated so far, so that another sidecar can resume them,
	 * and the sidecar must stop without waiting for them.
	 */
	@Test
	void shouldReturnBatchItemsWhenStopping() {
		SidecarProcess sidecar = startSidecar(2);
		send(item(0, 1));
		this.upstream.next().greet().tokens("a");
		this.batch.awaitTokens(1);
		send(item(1, 1));
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(sidecar::close);
		List<Done> results = List.of(this.batch.next(), this.batch.next());
		assertThat(results.stream().map(Done::getOutcome).toList()).containsExactly(Outcome.OUTCOME_YIELDED,
				Outcome.OUTCOME_NOT_PASSED_ON);
		stopped.join();
	}

	/**
	 * Collects the results of batch items.
	 */
	private static final class BatchListener implements AttemptListener {

		private final BlockingQueue<Done> results = new LinkedBlockingQueue<>();

		private volatile int tokens;

		@Override
		public synchronized void output(Output output) {
			this.tokens += output.getTokens();
		}

		@Override
		public void done(Done done) {
			this.results.add(done);
		}

		@Override
		public void lost() {
			this.results.add(Done.getDefaultInstance());
		}

		private Done next() {
			try {
				Done done = this.results.poll(10, TimeUnit.SECONDS);
				if (done == null) {
					throw new AssertionError("no item ended within 10 s");
				}
				return done;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new AssertionError("interrupted", ex);
			}
		}

		private void awaitTokens(int count) {
			TestFleet.await(() -> this.tokens >= count);
		}

	}

}
