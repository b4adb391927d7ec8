package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
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
 * Tests that a job does not stay in loading after a failure of the store.
 */
class JobLoaderTests {

	private final ManualTime time = ManualTime.of();

	private final FailingStore objects = new FailingStore();

	private final JobStore store = JobStore.of(this.objects, ConditionalWriter.of(this.objects, Stamps.of("t")));

	private final ProgressSaver progress = new ProgressSaver(
			ProgressStore.of(this.objects, ConditionalWriter.of(this.objects, Stamps.of("t")), new NoProgress(), "t"),
			this.time, Runnable::run);

	private JobLoader loader() {
		ResultAuthority authority = new ResultAuthority(this.time, () -> 0, Set::of);
		return new JobLoader(new JobRunner.Dependencies(this.store, null, null, null, null, null, null, null, null,
				null, this.time, () -> 0L, this.time, null, Runnable::run, null, null, null, null, () -> {
				}, null, null, null, null, null, null), this.progress, authority, () -> {
				});
	}

	/**
	 * Guards against a job that is accepted and never run since reading its items has
	 * failed once, before or after the read was sent.
	 * @param failure when the read fails
	 */
	@ParameterizedTest
	@EnumSource(names = { "AT_ONCE", "LATER" })
	void shouldLoadAfterAFailure(Failure failure) {
		JobItem item = new JobItem("i", "/p", Map.of(), "x".repeat(JobStore.MAX_CHUNK_CHARS), 1);
		JobItem other = new JobItem("j", "/p", Map.of(), "x", 1);
		this.store.create(new Job("job", Optional.empty(), "h", "/p", 0, 1, 2, 0, 2, false, List.of(item, other)))
			.join();
		OwnedJob job = new OwnedJob(this.store.read("job").join().orElseThrow(), false);
		this.objects.failure = failure;
		JobLoader loader = loader();
		loader.load(job);
		assertThat(job.phase()).isEqualTo(OwnedJob.Phase.LOADING);
		this.objects.failure = Failure.NONE;
		this.time.advance(JobStore.RETRY_DELAY);
		assertThat(job.phase()).isEqualTo(OwnedJob.Phase.NOT_LOADED);
		loader.load(job);
		assertThat(job.phase()).isEqualTo(OwnedJob.Phase.READY);
		assertThat(job.openCount()).isEqualTo(2);
	}

	private enum Failure {

		NONE, AT_ONCE, LATER

	}

	private static final class FailingStore implements RecordStore {

		private final MemoryObjectStore objects = MemoryObjectStore.empty();

		private Failure failure = Failure.NONE;

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			return switch (this.failure) {
				case NONE -> this.objects.read(key);
				case AT_ONCE -> throw new IllegalStateException("not sent");
				case LATER ->
					CompletableFuture.failedFuture(new StoreException(ErrorCode.STORE_UNAVAILABLE, "no answer"));
			};
		}

		@Override
		public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
			return this.objects.create(key, draft);
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
