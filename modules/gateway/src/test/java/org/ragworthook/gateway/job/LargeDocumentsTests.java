package org.ragworthook.gateway.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that documents of any size and text are stored, and are read whole or not at all.
 */
class LargeDocumentsTests {

	private static final int STATED_BYTES = 200_000;

	private static final ObjectKey KEY = ObjectKey.of(Kind.RESULT, "jjob.00000");

	private final LimitedStore store = new LimitedStore(STATED_BYTES);

	private final JobStore jobs = jobs("a");

	private JobStore jobs(String writer) {
		return JobStore.of(this.store, ConditionalWriter.of(this.store, Stamps.of(writer)));
	}

	private LargeDocuments documents() {
		return new LargeDocuments(this.store, ConditionalWriter.of(this.store, Stamps.of("d")),
				ObjectSizeLimit.of(this.store));
	}

	private static List<ItemOutcome> outcomes(int count, String output) {
		return IntStream.range(0, count).mapToObj((n) -> new ItemOutcome("i" + n, true, output + n)).toList();
	}

	private static OwnedJob finished(List<ItemOutcome> outcomes) {
		List<JobItem> items = outcomes.stream()
			.map((outcome) -> new JobItem(outcome.itemId(), "/p", Map.of(), "", 1))
			.toList();
		OwnedJob job = new OwnedJob(job("job", items), true);
		job.openItems();
		outcomes.forEach((outcome) -> job.finish(outcome, 1));
		return job;
	}

	private static Job job(String id, List<JobItem> items) {
		return new Job(id, Optional.empty(), "h", "/p", 0, 1, items.size(), 0, 1, false, items);
	}

	/**
	 * Guards against finished results that are never listed because a segment of them
	 * exceeds the store's limit, and against a store that counts objects in another way
	 * than this process.
	 * @param text the text that the results repeat
	 * @param actualBytes the limit that the store enforces
	 */
	@ParameterizedTest
	@CsvSource({ "a, 200000", "\u4e16, 200000", "\ud83d\ude00, 200000", "'\"', 200000", "\\, 200000", "a, 60000",
			"\u4e16, 60000", "'\"', 30000" })
	void shouldPublishAllResults(String text, int actualBytes) {
		this.store.maxBytes = actualBytes;
		List<ItemOutcome> outcomes = outcomes(40, text.repeat(5_000));
		OwnedJob job = finished(outcomes);
		while (job.hasUnpublished()) {
			List<ItemOutcome> segment = job.nextSegment(this.jobs.maxDocumentBytes());
			assertThat(this.jobs.append("job", job.segments(), segment).join()).isTrue();
			assertThat(this.jobs.segment("job", job.segments()).join().orElseThrow()).isEqualTo(segment);
			job.addSegment(job.segments(), segment);
		}
		assertThat(job.allPublished()).isTrue();
	}

	/**
	 * Guards against a job that is not accepted since its items exceed an object: by
	 * their bodies, or by their headers in one object that the bodies would fit into.
	 * @param bodyChars the length of an item's body
	 * @param headerChars the length of an item's header
	 * @param items the number of items
	 */
	@ParameterizedTest
	@CsvSource({ "1000, 0, 10", "1000, 2000, 200", "300000, 0, 1", "700000, 0, 3", "30000, 0, 200" })
	void shouldStoreAJobOfAnySize(int bodyChars, int headerChars, int items) {
		List<JobItem> all = IntStream.range(0, items)
			.mapToObj((n) -> new JobItem("i" + n, "/p" + n, Map.of("h", "\u00fc".repeat(headerChars)),
					"A".repeat(bodyChars), 1))
			.toList();
		assertThat(this.jobs.create(job("job", all)).join()).isTrue();
		assertThat(jobs("b").create(job("job", all)).join()).isFalse();
		Job read = this.jobs.read("job").join().orElseThrow();
		assertThat(this.jobs.withItems(read).join().items()).isEqualTo(all);
	}

	/**
	 * Guards against a result that is made of the texts of two processes which run the
	 * same item.
	 */
	@Test
	void shouldNotMixPiecesOfTwoWriters() {
		List<ItemOutcome> first = outcomes(1, "first ".repeat(STATED_BYTES));
		List<ItemOutcome> second = outcomes(1, "other ".repeat(STATED_BYTES));
		assertThat(this.jobs.append("job", 0, first).join()).isTrue();
		assertThat(jobs("b").append("job", 0, second).join()).isFalse();
		assertThat(this.jobs.segment("job", 0).join().orElseThrow()).isEqualTo(first);
	}

	/**
	 * Guards against a result that is shown without the text of a piece that the store
	 * does not return, or returns changed.
	 * @param replacement the text in place of the piece, or empty for no piece
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "changed" })
	void shouldNotReadADocumentWithoutOneOfItsPieces(String replacement) {
		documents().create(KEY, "x".repeat(3 * STATED_BYTES)).join();
		ObjectKey piece = this.store.objects.keySet()
			.stream()
			.filter((key) -> !key.equals(KEY))
			.findFirst()
			.orElseThrow();
		this.store.objects.remove(piece);
		if (!replacement.isEmpty()) {
			this.store.create(piece, Draft.of(replacement, "s")).join();
		}
		Throwable failure = documents().read(KEY).handle((text, thrown) -> thrown).join();
		assertThat(ConditionalWriter.codeOf(failure)).hasValue(ErrorCode.STORE_UNAVAILABLE);
	}

	/**
	 * Guards against a process of the version before that reads the list of pieces as a
	 * segment without results, or as a chunk without items.
	 */
	@Test
	void shouldBeMalformedForVersionsWithoutPieces() {
		documents().create(KEY, "x".repeat(STATED_BYTES)).join();
		String list = this.store.objects.get(KEY).text();
		assertThat(failure(() -> JobDocuments.readOutcomes(list))).isPresent();
		assertThat(failure(() -> JobDocuments.readItems(list))).isPresent();
	}

	private static Optional<RuntimeException> failure(Runnable call) {
		try {
			call.run();
			return Optional.empty();
		}
		catch (RuntimeException ex) {
			return Optional.of(ex);
		}
	}

	@ParameterizedTest
	@CsvSource({ "a, 10", "\u4e16, 20", "\ud83d\ude00, 15", "\"\\, 3" })
	void shouldSplitAnyTextIntoPiecesBelowTheLimit(String text, int maxBytes) {
		String whole = text.repeat(50);
		List<String> pieces = LargeDocuments.split(whole, maxBytes);
		assertThat(String.join("", pieces)).isEqualTo(whole);
		pieces.forEach((piece) -> {
			assertThat(JsonSize.max(piece)).isAtMost(maxBytes);
			assertThat(Character.isLowSurrogate(piece.charAt(0))).isFalse();
		});
	}

	/**
	 * A store that refuses objects above a limit, counted as JSON in ASCII, and may
	 * enforce a lower limit than it states.
	 */
	private static final class LimitedStore implements RecordStore {

		private final Map<ObjectKey, Stored> objects = new HashMap<>();

		private final long statedBytes;

		private long maxBytes;

		private LimitedStore(long statedBytes) {
			this.statedBytes = statedBytes;
			this.maxBytes = statedBytes;
		}

		@Override
		public long maxObjectBytes() {
			return this.statedBytes;
		}

		@Override
		public CompletableFuture<Optional<Stored>> read(ObjectKey key) {
			return CompletableFuture.completedFuture(Optional.ofNullable(this.objects.get(key)));
		}

		@Override
		public CompletableFuture<Stored> create(ObjectKey key, Draft draft) {
			return this.objects.containsKey(key) ? failed(ErrorCode.STORE_CONFLICT) : put(key, draft);
		}

		@Override
		public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
			return put(key, draft);
		}

		private CompletableFuture<Stored> put(ObjectKey key, Draft draft) {
			if (JsonSize.max(key.name() + draft.text()) > this.maxBytes) {
				return failed(ErrorCode.STORE_TOO_LARGE);
			}
			Stored stored = new Stored(key, 1, draft);
			this.objects.put(key, stored);
			return CompletableFuture.completedFuture(stored);
		}

		private static CompletableFuture<Stored> failed(ErrorCode code) {
			return CompletableFuture.failedFuture(new StoreException(code, "refused"));
		}

		@Override
		public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
			return CompletableFuture.completedFuture(this.objects.remove(key) != null);
		}

	}

}
