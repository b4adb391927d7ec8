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
 * Tests of online and batch requests on one upstream.
 */
class PriorityTests {

	private final TestFleet fleet = new TestFleet();

	private final TestFleet.TestEntry entry = this.fleet.entry();

	private final Caller caller = this.entry.caller();

	private final FakeUpstream upstream = this.fleet.upstream();

	private final BatchExchange batch = new BatchExchange();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private SidecarProcess serve(int limit) {
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
	 * The upstream is full of batch when a burst of online requests comes. Each must get
	 * a slot at once, while not one batch item ends by itself; the batch goes back with
	 * what it has generated, and nothing is lost.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 8 })
	void shouldGiveBurstTheSlotsOfBatch(int burst) {
		serve(8);
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
		// One slot was free as headroom, and one that a caller has left serves the next.
		int yielded = this.batch.dones.size();
		assertThat(yielded).isAtMost(burst - 1);
		for (int i = 0; i < yielded; i++) {
			Done done = this.batch.next();
			assertThat(done.getOutcome()).isEqualTo(Outcome.OUTCOME_YIELDED);
			assertThat("ab").startsWith(done.getText());
		}
	}

	@Test
	void shouldResumeItemThatGaveWay() {
		serve(2);
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
	 * An owner of the batch work was paused and another has taken over. What the old one
	 * still sends must not be run.
	 */
	@Test
	void shouldNotRunItemsOfOlderEpoch() {
		serve(4);
		send(item(0, 2));
		this.upstream.next();
		send(item(1, 1));
		assertThat(this.batch.next().getOutcome()).isEqualTo(Outcome.OUTCOME_FENCED);
		assertThat(this.upstream.count()).isEqualTo(1);
	}

	/**
	 * A new owner fences its shard off before it sends anything. Items of the old owner
	 * that run must leave, or they would hold the slots of those sent anew.
	 */
	@Test
	void shouldDropItemsThatAreFencedOff() {
		serve(2);
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
	 * A job is cancelled while its items run and wait. None of them may go on.
	 */
	@Test
	void shouldStopItemsOfCancelledJob() {
		serve(2);
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
	 * A sidecar is told to stop while it is full of batch. The batch goes back with what
	 * it has generated, so that another sidecar goes on, and the sidecar is gone soon.
	 */
	@Test
	void shouldHandBatchBackWhenStopping() {
		SidecarProcess sidecar = serve(2);
		send(item(0, 1));
		this.upstream.next().greet().tokens("a");
		this.batch.awaitTokens(1);
		send(item(1, 1));
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(sidecar::close);
		List<Done> dones = List.of(this.batch.next(), this.batch.next());
		assertThat(dones.stream().map(Done::getOutcome).toList()).containsExactly(Outcome.OUTCOME_YIELDED,
				Outcome.OUTCOME_NOT_PASSED_ON);
		stopped.join();
	}

	/**
	 * Takes what becomes of batch items.
	 */
	private static final class BatchExchange implements AttemptListener {

		private final BlockingQueue<Done> dones = new LinkedBlockingQueue<>();

		private volatile int tokens;

		@Override
		public synchronized void output(Output output) {
			this.tokens += output.getTokens();
		}

		@Override
		public void done(Done done) {
			this.dones.add(done);
		}

		@Override
		public void lost() {
			this.dones.add(Done.getDefaultInstance());
		}

		private Done next() {
			try {
				Done done = this.dones.poll(10, TimeUnit.SECONDS);
				if (done == null) {
					throw new AssertionError("no item has ended");
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
