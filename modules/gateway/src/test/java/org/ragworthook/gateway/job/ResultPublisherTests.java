package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
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

	private static final class CountingStore implements RecordStore {

		private final MemoryObjectStore objects = MemoryObjectStore.empty();

		private int creates;

		private boolean available = true;

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			return this.objects.read(key);
		}

		@Override
		public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
			this.creates++;
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
