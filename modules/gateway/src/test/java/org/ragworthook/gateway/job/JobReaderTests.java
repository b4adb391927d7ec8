package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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
 * What callers are shown of a job's results, and which calls of the store that takes.
 */
class JobReaderTests {

	private static final Duration WAIT = Duration.ofSeconds(1);

	private final ManualTime time = ManualTime.of();

	private final CountingStore store = new CountingStore();

	private final JobStore jobs = JobStore.of(this.store, ConditionalWriter.of(this.store, Stamps.of("t")));

	private final AtomicReference<Optional<PublishedResults>> told = new AtomicReference<>(Optional.empty());

	private final JobReader reader = JobReader.of(this.jobs, (jobId) -> this.told.get(), this.time);

	@BeforeEach
	void accept() {
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		assertThat(this.jobs.create(new Job("job", Optional.empty(), "h", "/p", 0, 1, 2, 0, 1, false, List.of(item)))
			.join()).isTrue();
	}

	private void told(int segments) {
		this.told.set(Optional.of(new PublishedResults("job", 2, segments, true)));
	}

	private static List<ItemOutcome> segment(String item) {
		return List.of(new ItemOutcome(item, true, "text of " + item));
	}

	/**
	 * A job runs for seconds, and its callers look twice a second whether there is a
	 * result, each time at another entry. Each look was two calls of the store.
	 */
	@Test
	void shouldNotAskTheStoreWhileItsOwnerTellsThatThereIsNothing() {
		told(0);
		JobReader.Page page = this.reader.results("job", 0, Duration.ZERO).join().orElseThrow();
		assertThat(page).isEqualTo(new JobReader.Page(2, 0, List.of()));
		assertThat(this.store.reads).isEmpty();
	}

	/**
	 * An entry that does not know for sure asks the store each time, so that it shows no
	 * less than another entry has shown.
	 */
	@Test
	void shouldAskTheStoreWhenItIsNotSure() {
		this.jobs.append("job", 0, segment("a")).join();
		assertThat(this.reader.results("job", 0, Duration.ZERO).join().orElseThrow().outcomes())
			.isEqualTo(segment("a"));
		this.jobs.append("job", 1, segment("b")).join();
		assertThat(this.reader.results("job", 1, Duration.ZERO).join().orElseThrow().outcomes())
			.isEqualTo(segment("b"));
	}

	/**
	 * A caller waits for a result up to a second. It gets one that is listed in that time
	 * when it is listed, not at the end of the wait.
	 */
	@Test
	void shouldAnswerAWaitingCallerOnceAResultIsListed() {
		told(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, WAIT);
		this.time.advance(Duration.ofMillis(300));
		assertThat(answer.isDone()).isFalse();
		this.jobs.append("job", 0, segment("a")).join();
		this.reader.onResultsReported();
		assertThat(answer.isDone()).isFalse();
		told(1);
		this.reader.onResultsReported();
		assertThat(answer.join().orElseThrow().outcomes()).isEqualTo(segment("a"));
		this.time.advance(WAIT);
	}

	/**
	 * The owner tells of a segment that it is still writing. The caller goes on waiting,
	 * and is answered when its wait is over, whether there is a result or not.
	 */
	@Test
	void shouldEndTheWaitInTime() {
		told(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, WAIT);
		told(1);
		this.reader.onResultsReported();
		assertThat(answer.isDone()).isFalse();
		this.time.advance(WAIT);
		assertThat(answer.join().orElseThrow().outcomes()).isEmpty();
	}

	private static final class CountingStore implements RecordStore {

		private final MemoryObjectStore objects = MemoryObjectStore.empty();

		private final List<ObjectKey> reads = new ArrayList<>();

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			this.reads.add(key);
			return this.objects.read(key);
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
