package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a write of results that can never succeed and is repeated for good.
 */
class ResultPublisherTests {

	private final ManualTime time = ManualTime.of();

	private final CountingStore objects = new CountingStore();

	private final JobStore store = JobStore.of(this.objects, ConditionalWriter.of(this.objects, Stamps.of("t")));

	private final ResultPublisher publisher = publisher();

	private int ended;

	private ResultPublisher publisher() {
		ResultAuthority authority = new ResultAuthority(this.time, () -> 0, Set::of);
		return new ResultPublisher(new JobRunner.Dependencies(this.store, null, null, null, null, null, null, null,
				null, null, this.time, () -> 0L, this.time, null, Runnable::run, null, null, null, null, () -> {
				}, null, null, null, null, null, null), authority, () -> this.ended++);
	}

	private static OwnedJob finished(int items) {
		List<JobItem> all = IntStream.range(0, items)
			.mapToObj((n) -> new JobItem("i" + n, "/p", Map.of(), "", 1))
			.toList();
		OwnedJob job = new OwnedJob(new Job("job", Optional.empty(), "h", "/p", 0, 1, items, 0, 1, false, all), true);
		job.openItems();
		all.forEach((item) -> job.finish(outcome(item.id()), 1));
		return job;
	}

	private static ItemOutcome outcome(String item) {
		return new ItemOutcome(item, true, "text");
	}

	private List<String> listedItems() {
		return IntStream.range(0, 5)
			.mapToObj((number) -> this.store.segment("job", number).join())
			.flatMap(Optional::stream)
			.flatMap(List::stream)
			.map(ItemOutcome::itemId)
			.toList();
	}

	/**
	 * Another process has listed some of the results, or all of them, and owns the job
	 * now.
	 * @param listed the number of results in each of the other process's segments
	 * @param segments the number of its segments
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 3", "2, 1", "2, 2", "4, 1" })
	void shouldPublishAfterTheSegmentsOfAnotherProcess(int listed, int segments) {
		for (int segment = 0; segment < segments; segment++) {
			int first = segment * listed;
			this.store
				.append("job", segment,
						IntStream.range(first, first + listed).mapToObj((n) -> outcome("i" + n)).toList())
				.join();
		}
		OwnedJob job = finished(4);
		int before = this.objects.creates;
		for (int round = 0; round < 20 && job.hasUnpublished(); round++) {
			this.publisher.publish(job);
		}
		assertThat(job.hasUnpublished()).isFalse();
		assertThat(job.allPublished()).isTrue();
		assertThat(this.objects.creates - before).isAtMost(segments + 1);
		assertThat(listedItems()).containsExactly("i0", "i1", "i2", "i3");
	}

	/** The store does not answer; the write is repeated after a pause, also at a stop. */
	@Test
	void shouldAllowAnotherWriteAfterAFailedOne() {
		this.objects.available = false;
		OwnedJob job = finished(1);
		this.publisher.publish(job);
		assertThat(this.ended).isEqualTo(0);
		this.objects.available = true;
		this.time.advance(JobStore.RETRY_DELAY);
		assertThat(this.ended).isEqualTo(1);
		this.publisher.publish(job);
		assertThat(job.hasUnpublished()).isFalse();
	}

	/**
	 * Guards against a job whose results are never listed since a write has failed before
	 * it was sent, and counts as in progress for good.
	 */
	@Test
	void shouldAllowAnotherWriteAfterOneThatWasNotSent() {
		this.objects.failsAtOnce = true;
		OwnedJob job = finished(1);
		this.publisher.publish(job);
		this.objects.failsAtOnce = false;
		this.time.advance(JobStore.RETRY_DELAY);
		assertThat(this.ended).isEqualTo(1);
		this.publisher.publish(job);
		assertThat(job.hasUnpublished()).isFalse();
	}

	private static final class CountingStore implements RecordStore {

		private final MemoryObjectStore objects = MemoryObjectStore.empty();

		private int creates;

		private boolean available = true;

		private boolean failsAtOnce;

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			return this.objects.read(key);
		}

		@Override
		public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
			this.creates++;
			if (this.failsAtOnce) {
				throw new IllegalStateException("not sent");
			}
			return this.available ? this.objects.create(key, draft)
					: CompletableFuture.failedFuture(new StoreException(ErrorCode.STORE_UNAVAILABLE, "away"));
		}

		@Override
		public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
			return this.objects.update(key, draft, expected);
		}

		@Override
		public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
			return this.objects.delete(key, expected);
		}

	}

}
