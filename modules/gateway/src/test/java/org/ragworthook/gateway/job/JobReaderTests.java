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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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
 * Which results a reader returns, and which store calls it makes.
 */
class JobReaderTests {

	private static final Duration READ_WAIT = Duration.ofSeconds(1);

	/** How long after a result was first shown an entry may still answer without it. */
	private static final Duration MAX_STALENESS = Duration.ofSeconds(1);

	private final ManualTime time = ManualTime.of();

	private final CountingStore store = new CountingStore();

	private final JobStore jobs = JobStore.of(this.store, ConditionalWriter.of(this.store, Stamps.of("t")));

	private final AtomicReference<Optional<PublishedResults>> reported = new AtomicReference<>(Optional.empty());

	private final JobReader reader = JobReader.of(this.jobs, (jobId) -> this.reported.get(), this.time, this.time);

	@BeforeEach
	void accept() {
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		assertThat(this.jobs.create(new Job("job", Optional.empty(), "h", "/p", 0, 1, 2, 0, 1, false, List.of(item)))
			.join()).isTrue();
	}

	private void report(int segments) {
		this.reported.set(Optional.of(new PublishedResults("job", 2, segments, true)));
	}

	private static List<ItemOutcome> segment(String item) {
		return List.of(new ItemOutcome(item, true, "text of " + item));
	}

	/**
	 * A job runs for seconds while its callers poll for results twice a second, each time
	 * at another entry. Without reports each poll would be two store calls.
	 */
	@Test
	void shouldNotReadTheStoreWhileTheOwnerReportsNoResults() {
		report(0);
		JobReader.Page page = this.reader.results("job", 0, Duration.ZERO).join().orElseThrow();
		assertThat(page).isEqualTo(new JobReader.Page(2, 0, List.of()));
		assertThat(this.store.reads).isEmpty();
	}

	/**
	 * Without an authoritative report an entry reads the store each time, so that it
	 * shows no fewer results than another entry has shown.
	 */
	@Test
	void shouldReadTheStoreWithoutAnAuthoritativeReport() {
		this.jobs.append("job", 0, segment("a")).join();
		assertThat(this.reader.results("job", 0, Duration.ZERO).join().orElseThrow().outcomes())
			.isEqualTo(segment("a"));
		this.jobs.append("job", 1, segment("b")).join();
		assertThat(this.reader.results("job", 1, Duration.ZERO).join().orElseThrow().outcomes())
			.isEqualTo(segment("b"));
	}

	/**
	 * A caller waits up to a second for a result. A result that is published meanwhile is
	 * returned at once, not at the end of the wait.
	 */
	@Test
	void shouldAnswerAWaitingReadOnceAResultIsPublished() {
		report(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		this.time.advance(Duration.ofMillis(300));
		assertThat(answer.isDone()).isFalse();
		this.jobs.append("job", 0, segment("a")).join();
		this.reader.onResultsReported();
		assertThat(answer.isDone()).isFalse();
		report(1);
		this.reader.onResultsReported();
		assertThat(answer.join().orElseThrow().outcomes()).isEqualTo(segment("a"));
		this.time.advance(READ_WAIT);
	}

	/**
	 * The owner reports a segment that it is still writing. The read goes on waiting, and
	 * is answered at the end of its wait with or without a result.
	 */
	@Test
	void shouldAnswerWhenTheWaitIsOver() {
		report(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		report(1);
		this.reader.onResultsReported();
		assertThat(answer.isDone()).isFalse();
		this.time.advance(READ_WAIT);
		assertThat(answer.join().orElseThrow().outcomes()).isEmpty();
	}

	/**
	 * Guards against an empty page for a result that is published but could not be read:
	 * another entry may have shown it already.
	 */
	@Test
	void shouldNotDenyAResultThatItCouldNotRead() {
		report(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		this.jobs.append("job", 0, segment("a")).join();
		report(1);
		this.store.failure = Optional.of(new StoreException(ErrorCode.STORE_UNAVAILABLE, "down"));
		this.reader.onResultsReported();
		this.time.advance(READ_WAIT);
		assertThat(ConditionalWriter.codeOf(answer.handle((page, failure) -> failure).join()))
			.hasValue(ErrorCode.STORE_UNAVAILABLE);
	}

	@Test
	void shouldAnswerWithAResultThatItCouldNotReadAtFirst() {
		report(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		this.jobs.append("job", 0, segment("a")).join();
		report(1);
		this.store.failure = Optional.of(new StoreException(ErrorCode.STORE_UNAVAILABLE, "down"));
		this.reader.onResultsReported();
		this.store.failure = Optional.empty();
		this.reader.onResultsReported();
		assertThat(answer.join().orElseThrow().outcomes()).isEqualTo(segment("a"));
	}

	/**
	 * Guards against an empty page while the read that will find the result is in
	 * progress.
	 */
	@Test
	void shouldAnswerWithTheReadThatIsInProgressWhenTheWaitIsOver() {
		report(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		this.jobs.append("job", 0, segment("a")).join();
		report(1);
		CompletableFuture<Void> held = new CompletableFuture<>();
		this.store.held = held;
		this.reader.onResultsReported();
		this.time.advance(READ_WAIT);
		assertThat(answer.isDone()).isFalse();
		held.complete(null);
		assertThat(answer.join().orElseThrow().outcomes()).isEqualTo(segment("a"));
	}

	/**
	 * Guards against an empty page that rests on what was known when the wait began:
	 * another entry may have shown the result almost a second ago.
	 * @param reportsAtFirst whether the owner's reports are certain when the wait begins
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldNotDenyAResultThatNoReportAnnouncesDuringTheWait(boolean reportsAtFirst) {
		if (reportsAtFirst) {
			report(0);
		}
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		this.reported.set(Optional.empty());
		this.jobs.append("job", 0, segment("a")).join();
		this.reader.onResultsReported();
		this.time.advance(READ_WAIT);
		assertThat(answer.join().orElseThrow().outcomes()).isEqualTo(segment("a"));
	}

	/**
	 * Guards against an empty page from a read that the store answered so late that
	 * another entry may have shown a result since.
	 * @param wait how long the caller waits for a result
	 */
	@ParameterizedTest
	@ValueSource(longs = { 0, 1_000 })
	void shouldNotDenyAResultByALateAnswerOfTheStore(long wait) {
		CompletableFuture<Void> held = new CompletableFuture<>();
		this.reader.results("job", 1, Duration.ZERO).join();
		this.store.held = held;
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, Duration.ofMillis(wait));
		this.time.advance(MAX_STALENESS);
		held.complete(null);
		this.time.advance(READ_WAIT);
		if (wait == 0) {
			assertThat(ConditionalWriter.codeOf(answer.handle((page, failure) -> failure).join()))
				.hasValue(ErrorCode.STORE_UNAVAILABLE);
		}
		else {
			assertThat(answer.join().orElseThrow().outcomes()).isEmpty();
		}
	}

	/**
	 * Guards against a caller that never gets an answer because a read of the store threw
	 * an exception instead of completing with one.
	 */
	@Test
	void shouldEndAWaitingReadAfterAReadThatThrows() {
		report(0);
		CompletableFuture<Optional<JobReader.Page>> answer = this.reader.results("job", 0, READ_WAIT);
		report(1);
		this.store.thrown = Optional.of(new IllegalStateException("not sent"));
		try {
			this.reader.onResultsReported();
		}
		catch (IllegalStateException ex) {
			assertThat(ex).hasMessageThat().isEqualTo("not sent");
		}
		this.store.thrown = Optional.empty();
		this.time.advance(READ_WAIT);
		assertThat(answer.isDone()).isTrue();
	}

	private static final class CountingStore implements RecordStore {

		private final MemoryObjectStore objects = MemoryObjectStore.empty();

		private final List<ObjectKey> reads = new ArrayList<>();

		private Optional<StoreException> failure = Optional.empty();

		/** What a read throws, in place of completing with it. */
		private Optional<RuntimeException> thrown = Optional.empty();

		/** Completes when reads may be answered. */
		private CompletableFuture<Void> held = CompletableFuture.completedFuture(null);

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			this.reads.add(key);
			this.thrown.ifPresent((exception) -> {
				throw exception;
			});
			return this.failure.<CompletableFuture<Optional<Stored>>>map(CompletableFuture::failedFuture)
				.orElseGet(() -> this.held.thenCompose((released) -> this.objects.read(key)));
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
