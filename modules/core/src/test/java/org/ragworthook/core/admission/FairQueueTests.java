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

	private static QueuedRequest<String> ticket(String account, int weight, String item) {
		return new QueuedRequest<>(account, weight, Offer.NO_DEADLINE, item);
	}

	private QueuedRequest<String> due(String account, long millis) {
		return new QueuedRequest<>(account, 1, this.time.nanos() + millis * 1_000_000, account + this.number++);
	}

	private void fill(FairQueue<String> target, String account, int weight, int count) {
		for (int i = 0; i < count; i++) {
			target.offer(ticket(account, weight, account + this.number++));
		}
	}

	/**
	 * One account sends far more than the others. Served in the order of arrival, the
	 * others would wait behind all of it.
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
	void shouldServeMostUrgentOfAccountFirst() {
		this.queue.offer(due("a", 900));
		QueuedRequest<String> urgent = due("a", 300);
		this.queue.offer(urgent);
		assertThat(this.queue.poll()).isEqualTo(Optional.of(urgent));
	}

	/**
	 * The queue is full of requests that can wait when an urgent one comes. It must not
	 * be turned away for their sake.
	 */
	@Test
	void shouldShedLeastUrgent() {
		FairQueue<String> small = FairQueue.of(this.time, 2);
		QueuedRequest<String> patient = due("a", 9_000);
		small.offer(due("a", 500));
		small.offer(patient);
		EnqueueResult<String> placing = small.offer(due("b", 600));
		assertThat(((EnqueueResult.Queued<String>) placing).shed()).isEqualTo(Optional.of(patient));
		assertThat(small.offer(due("c", 9_000))).isInstanceOf(EnqueueResult.Refused.class);
		assertThat(small.size()).isEqualTo(2);
	}

	/**
	 * A caller marks all its requests as urgent to get ahead. It must not push out the
	 * few requests of another account.
	 */
	@Test
	void shouldNotShedAccountThatHasLess() {
		FairQueue<String> small = FairQueue.of(this.time, 4);
		small.offer(ticket("modest", 1, "only"));
		for (int i = 0; i < 50; i++) {
			small.offer(due("greedy", 1_000 - i));
		}
		List<String> firstTurns = List.of(small.poll().orElseThrow().item(), small.poll().orElseThrow().item());
		assertThat(firstTurns).contains("only");
	}

	@Test
	void shouldMakeRoomForAccountThatHasLess() {
		FairQueue<String> small = FairQueue.of(this.time, 4);
		fill(small, "greedy", 1, 4);
		EnqueueResult<String> placing = small.offer(ticket("modest", 1, "only"));
		assertThat(((EnqueueResult.Queued<String>) placing).shed().orElseThrow().account()).isEqualTo("greedy");
	}

	/**
	 * Requests leave the queue at a steady rate. The time a refused caller is told must
	 * be what the queue really takes, else it comes back too early, again and again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 20, 200 })
	void shouldTellHonestRetryAfter(int perSecond) {
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
	 * A caller allows two seconds, and the queue takes ten. Told at once, it can go
	 * elsewhere; told after two seconds, it cannot.
	 */
	@Test
	void shouldRefuseEarlyWhatCannotBeInTime() {
		for (int i = 0; i < 20; i++) {
			this.queue.requestEnded();
			this.time.advance(Duration.ofMillis(500));
		}
		fill(this.queue, "a", 1, 20);
		EnqueueResult<String> placing = this.queue.offer(due("a", 2_000));
		assertThat(((EnqueueResult.Refused<String>) placing).reason())
			.isEqualTo(EnqueueResult.Reason.DEADLINE_UNREACHABLE);
		assertThat(this.queue.offer(due("b", 2_000))).isInstanceOf(EnqueueResult.Queued.class);
	}

	/**
	 * Nothing had to wait for a long time, and then a burst comes. How fast requests end
	 * is not known, so none may be refused on a guess.
	 */
	@Test
	void shouldNotRefuseOnGuess() {
		for (int i = 0; i < 20; i++) {
			this.queue.requestEnded();
		}
		this.time.advance(Duration.ofMinutes(5));
		fill(this.queue, "a", 1, 50);
		assertThat(this.queue.offer(due("a", 2_000))).isInstanceOf(EnqueueResult.Queued.class);
		assertThat(this.queue.retryAfter()).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	void shouldGiveUpExpired() {
		QueuedRequest<String> late = due("a", 100);
		this.queue.offer(late);
		this.queue.offer(due("a", 500));
		this.time.advance(Duration.ofMillis(100));
		assertThat(this.queue.removeExpired()).containsExactly(late);
		assertThat(this.queue.size()).isEqualTo(1);
	}

	@Test
	void shouldForgetWithdrawn() {
		this.queue.offer(ticket("a", 1, "gone"));
		assertThat(this.queue.withdraw("gone")).isTrue();
		assertThat(this.queue.withdraw("gone")).isFalse();
		assertThat(this.queue.poll()).isEqualTo(Optional.empty());
	}

}
