package org.ragworthook.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link FairQueue}.
 */
class FairQueueTests {

	private final ManualTime time = ManualTime.of();

	private final FairQueue<String> queue = FairQueue.of(this.time, 100);

	private int number;

	private static QueuedRequest<String> request(String account, int weight, String item) {
		return new QueuedRequest<>(account, weight, Offer.NO_DEADLINE, item);
	}

	private QueuedRequest<String> due(String account, long millis) {
		return new QueuedRequest<>(account, 1, this.time.nanos() + millis * 1_000_000, account + this.number++);
	}

	private void fill(FairQueue<String> target, String account, int weight, int count) {
		for (int i = 0; i < count; i++) {
			target.offer(request(account, weight, account + this.number++));
		}
	}

	/**
	 * One account sends far more requests than the other. Served in arrival order, the
	 * other account's requests would wait behind all of them.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1, 10", "1, 3, 15", "4, 1, 4" })
	void shouldServeAccountsByWeight(int greedyWeight, int modestWeight, int modestServed) {
		fill(this.queue, "greedy", greedyWeight, 80);
		fill(this.queue, "modest", modestWeight, 20);
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 20; i++) {
			served.merge(this.queue.poll().orElseThrow().account(), 1, Integer::sum);
		}
		assertThat(served.get("modest")).isIn(Range.closed(modestServed - 1, modestServed + 1));
	}

	@Test
	void shouldServeEarliestDeadlineOfAccountFirst() {
		this.queue.offer(due("a", 900));
		QueuedRequest<String> urgent = due("a", 300);
		this.queue.offer(urgent);
		assertThat(this.queue.poll()).isEqualTo(Optional.of(urgent));
	}

	/**
	 * An urgent request arrives while the queue is full of requests with later deadlines.
	 * It must not be refused in their favour.
	 */
	@Test
	void shouldShedLatestDeadline() {
		FairQueue<String> small = FairQueue.of(this.time, 2);
		QueuedRequest<String> latest = due("a", 9_000);
		small.offer(due("a", 500));
		small.offer(latest);
		EnqueueResult<String> result = small.offer(due("b", 600));
		assertThat(((EnqueueResult.Queued<String>) result).shed()).isEqualTo(Optional.of(latest));
		assertThat(small.offer(due("c", 9_000))).isInstanceOf(EnqueueResult.Refused.class);
		assertThat(small.size()).isEqualTo(2);
	}

	/**
	 * One account gives all its requests early deadlines. They must not displace the few
	 * requests of another account.
	 */
	@Test
	void shouldNotShedAccountWithSmallerBacklog() {
		FairQueue<String> small = FairQueue.of(this.time, 4);
		small.offer(request("modest", 1, "only"));
		for (int i = 0; i < 50; i++) {
			small.offer(due("greedy", 1_000 - i));
		}
		List<String> firstServed = List.of(small.poll().orElseThrow().item(), small.poll().orElseThrow().item());
		assertThat(firstServed).contains("only");
	}

	@Test
	void shouldShedLargerBacklogForSmallerOne() {
		FairQueue<String> small = FairQueue.of(this.time, 4);
		fill(small, "greedy", 1, 4);
		EnqueueResult<String> result = small.offer(request("modest", 1, "only"));
		assertThat(((EnqueueResult.Queued<String>) result).shed().orElseThrow().account()).isEqualTo("greedy");
	}

	/**
	 * Requests end at a constant rate. If the retry time were shorter than the time in
	 * which the queue empties, refused callers would come back too early and be refused
	 * again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 20, 200 })
	void shouldEstimateRetryAfterFromCompletionRate(int perSecond) {
		Duration gap = Duration.ofNanos(1_000_000_000L / perSecond);
		for (int i = 0; i < perSecond * 10; i++) {
			this.queue.requestEnded();
			this.time.advance(gap);
		}
		fill(this.queue, "a", 1, 40);
		double expected = 40.0 / perSecond * 1_000;
		assertThat((double) this.queue.retryAfter().toMillis()).isWithin(expected * 0.25).of(expected);
	}

	/**
	 * A caller's deadline is two seconds, but the queue takes ten. Refused immediately,
	 * the caller still has time to go elsewhere.
	 */
	@Test
	void shouldRefuseRequestThatCannotMeetDeadline() {
		for (int i = 0; i < 20; i++) {
			this.queue.requestEnded();
			this.time.advance(Duration.ofMillis(500));
		}
		fill(this.queue, "a", 1, 20);
		EnqueueResult<String> result = this.queue.offer(due("a", 2_000));
		assertThat(((EnqueueResult.Refused<String>) result).reason())
			.isEqualTo(EnqueueResult.Reason.DEADLINE_UNREACHABLE);
		assertThat(this.queue.offer(due("b", 2_000))).isInstanceOf(EnqueueResult.Queued.class);
	}

	/**
	 * A burst arrives after a long idle time. The completion rate is unknown, so no
	 * request may be refused because of an estimate.
	 */
	@Test
	void shouldNotRefuseWhileRateIsUnknown() {
		for (int i = 0; i < 20; i++) {
			this.queue.requestEnded();
		}
		this.time.advance(Duration.ofMinutes(5));
		fill(this.queue, "a", 1, 50);
		assertThat(this.queue.offer(due("a", 2_000))).isInstanceOf(EnqueueResult.Queued.class);
		assertThat(this.queue.retryAfter()).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	void shouldRemoveExpired() {
		QueuedRequest<String> expired = due("a", 100);
		this.queue.offer(expired);
		this.queue.offer(due("a", 500));
		this.time.advance(Duration.ofMillis(100));
		assertThat(this.queue.removeExpired()).containsExactly(expired);
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void shouldRemoveWithdrawn() {
		this.queue.offer(request("a", 1, "gone"));
		assertThat(this.queue.withdraw("gone")).isTrue();
		assertThat(this.queue.withdraw("gone")).isFalse();
		assertThat(this.queue.poll()).isEqualTo(Optional.empty());
	}

}
