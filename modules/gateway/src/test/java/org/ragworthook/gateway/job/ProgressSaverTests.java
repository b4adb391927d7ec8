package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.Changes;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.upstream.SoftwareVersion;

import static com.google.common.truth.Truth.assertThat;

/**
 * When progress is saved, and what is read back.
 */
class ProgressSaverTests {

	private static final long MAX_BYTES = 1_000_000;

	private static final StreamOrigin ORIGIN = new StreamOrigin("svc", SoftwareVersion.of("v1"));

	private final AtomicLong nanos = new AtomicLong();

	private final MemoryStore store = new MemoryStore();

	private ProgressSaver saver(String instance) {
		ProgressStore progress = ProgressStore.of(this.store,
				ConditionalWriter.of(this.store, Stamps.of("w-" + instance)), this.store, instance);
		return new ProgressSaver(progress, this.nanos::get, Runnable::run);
	}

	private static ItemRun item(String id) {
		return run("job", id);
	}

	private static ItemRun run(String jobId, String itemId) {
		JobItem item = new JobItem(itemId, "/p", Map.of(), "", 1);
		return new ItemRun(new Job(jobId, Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)), item);
	}

	/**
	 * Creates a job whose items have progress.
	 * @param progress the last event of each item by id, 0 for none
	 * @return the job
	 */
	private static List<OwnedJob> job(Map<String, Long> progress) {
		List<JobItem> items = progress.keySet().stream().map((id) -> new JobItem(id, "/p", Map.of(), "", 1)).toList();
		OwnedJob job = new OwnedJob(new Job("job", Optional.empty(), "h", "/p", 0, 1, items.size(), 0, 1, false, items),
				true);
		job.openItems();
		progress.forEach((id, last) -> {
			if (last > 0) {
				job.resumeFrom(new ItemProgress("job", id, last, Optional.of(ORIGIN), "text of " + id + last), 1);
			}
		});
		return List.of(job);
	}

	private void advance(Duration time) {
		this.nanos.addAndGet(time.toNanos());
	}

	/**
	 * With many processes, a save by each of them every second would take most of the
	 * store's capacity.
	 * @param processes how many processes run jobs
	 * @param intervalMillis the interval between two saves of each process
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1000", "4, 1000", "10, 1000", "40, 4000", "320, 32000" })
	void shouldSaveLessOftenWithMoreProcesses(int processes, long intervalMillis) {
		ProgressSaver saver = saver("one");
		List<OwnedJob> jobs = job(Map.of("a", 3L));
		advance(Duration.ofMillis(intervalMillis - 1));
		saver.saveIfDue(jobs, processes);
		assertThat(this.store.writes).isEqualTo(0);
		advance(Duration.ofMillis(1));
		saver.saveIfDue(jobs, processes);
		assertThat(this.store.writes).isEqualTo(1);
	}

	@Test
	void shouldNotSaveWithoutNewProgress() {
		ProgressSaver saver = saver("one");
		List<OwnedJob> jobs = job(Map.of("a", 3L, "b", 0L));
		for (int round = 0; round < 5; round++) {
			advance(ProgressSaver.MIN_INTERVAL);
			saver.saveIfDue(jobs, 1);
		}
		assertThat(this.store.writes).isEqualTo(1);
		advance(ProgressSaver.MIN_INTERVAL);
		saver.saveIfDue(job(Map.of("b", 0L)), 1);
		assertThat(this.store.writes).isEqualTo(1);
	}

	/**
	 * Guards against an item that goes on with the text of another one: ids may contain
	 * any character.
	 * @param jobId the id of the job whose item has progress
	 * @param itemId the item's id
	 * @param otherJobId the id of another job
	 * @param otherItemId the id of its item
	 */
	@ParameterizedTest
	@CsvSource({ "a, b c, a b, c", "a b, c, a, b c", "a, '', '', a", "a/b, c, a, b/c" })
	void shouldNotTakeTheProgressOfAnotherItem(String jobId, String itemId, String otherJobId, String otherItemId) {
		ItemRun run = run(jobId, itemId);
		ProgressSaver.SavedProgress saved = ProgressSaver.SavedProgress
			.of(List.of(new ItemProgress(otherJobId, otherItemId, 3, Optional.of(ORIGIN), "other")));
		assertThat(saved.find(run)).isEqualTo(Optional.empty());
	}

	/**
	 * A job has moved from one owner to another, and both have saved progress of an item.
	 * The older progress must not win, whichever the store lists first.
	 */
	@Test
	void shouldResumeFromTheFurthestProgress() {
		saver("one").save(job(Map.of("a", 5L, "b", 2L))).join();
		saver("two").save(job(Map.of("a", 4L, "b", 9L))).join();
		ProgressSaver.SavedProgress saved = saver("three").readSaved().join();
		assertThat(saved.find(item("a")).map(ItemProgress::output)).isEqualTo(Optional.of("text of a5"));
		assertThat(saved.find(item("b")).map(ItemProgress::output)).isEqualTo(Optional.of("text of b9"));
		assertThat(saved.find(item("c"))).isEqualTo(Optional.empty());
	}

	/**
	 * An item has completed, and its owner is killed before the result is published. The
	 * next owner publishes it; run again, the item would take its whole time once more.
	 */
	@Test
	void shouldKeepCompletedItemsUntilPublished() {
		List<OwnedJob> jobs = job(Map.of("a", 5L, "b", 2L));
		jobs.get(0).finish(new ItemOutcome("a", true, "all of a"), 1);
		saver("one").save(jobs).join();
		OwnedJob restored = job(Map.of("a", 0L, "b", 0L)).get(0);
		ProgressSaver.SavedProgress saved = saver("two").readSaved().join();
		restored.runs().forEach((run) -> saved.find(run).ifPresent((progress) -> restored.resumeFrom(progress, 1)));
		assertThat(restored.nextSegment(MAX_BYTES)).containsExactly(new ItemOutcome("a", true, "all of a"));
		assertThat(restored.runs().stream().map((run) -> run.item().id()).toList()).containsExactly("b");
		assertThat(restored.runs().get(0).lastEvent()).isEqualTo(2);
	}

	/**
	 * A save fails, for instance because the store is unavailable. The next save must not
	 * be skipped because there is no newer progress.
	 */
	@Test
	void shouldSaveAgainAfterAFailedSave() {
		ProgressSaver saver = saver("one");
		List<OwnedJob> jobs = job(Map.of("a", 3L));
		this.store.unavailable = true;
		advance(ProgressSaver.MIN_INTERVAL);
		saver.saveIfDue(jobs, 1);
		this.store.unavailable = false;
		advance(ProgressSaver.MIN_INTERVAL);
		saver.saveIfDue(jobs, 1);
		assertThat(this.store.writes).isEqualTo(1);
	}

	/**
	 * Guards against a save that the store refuses for good, and against an item whose
	 * output alone is too large keeping the progress of all others out.
	 * @param text the text that the outputs repeat
	 * @param actualBytes the limit that the store enforces, below or at the one it states
	 */
	@ParameterizedTest
	@CsvSource({ "a, 200000", "\u4e16, 200000", "'\"', 200000", "a, 60000", "\u4e16, 60000" })
	void shouldSaveWhatFitsOfTheProgress(String text, int actualBytes) {
		this.store.statedBytes = 200_000;
		this.store.maxBytes = actualBytes;
		List<OwnedJob> jobs = job(IntStream.range(0, 41).boxed().collect(Collectors.toMap((n) -> "i" + n, (n) -> 0L)));
		jobs.get(0).finish(new ItemOutcome("i0", true, text.repeat(300_000)), 1);
		IntStream.range(1, 41)
			.forEach((n) -> jobs.get(0).finish(new ItemOutcome("i" + n, true, text.repeat(5_000)), 1));
		ProgressSaver saver = saver("one");
		for (int round = 0; round < 10; round++) {
			advance(ProgressSaver.MIN_INTERVAL);
			saver.saveIfDue(jobs, 1);
		}
		ProgressSaver.SavedProgress saved = saver("two").readSaved().join();
		assertThat(saved.find(item("i0"))).isEqualTo(Optional.empty());
		assertThat(saved.find(item("i1")).map(ItemProgress::output)).isEqualTo(Optional.of(text.repeat(5_000)));
	}

	/**
	 * Many jobs are loaded at the same moment. They share one listing instead of making a
	 * store call each.
	 */
	@Test
	void shouldShareOneListingBetweenJobsLoadedTogether() {
		ProgressSaver saver = saver("one");
		saver.readSaved().join();
		saver.readSaved().join();
		assertThat(this.store.listings).isEqualTo(1);
		advance(Duration.ofSeconds(1));
		saver.readSaved().join();
		assertThat(this.store.listings).isEqualTo(2);
	}

	/**
	 * A store in memory.
	 */
	private static final class MemoryStore implements RecordStore, Feed<List<ItemProgress>> {

		private final Map<ObjectKey, Stored> objects = new HashMap<>();

		private int writes;

		private int listings;

		private boolean unavailable;

		private long statedBytes = Draft.MAX_BYTES;

		private long maxBytes = Draft.MAX_BYTES;

		private long version;

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
			return put(key, draft);
		}

		@Override
		public CompletableFuture<Stored> update(ObjectKey key, Draft draft, long expected) {
			assertThat(this.objects.get(key).version()).isEqualTo(expected);
			return put(key, draft);
		}

		private CompletableFuture<Stored> put(ObjectKey key, Draft draft) {
			if (this.unavailable) {
				return CompletableFuture.failedFuture(new StoreException(ErrorCode.STORE_UNAVAILABLE, "away"));
			}
			if (JsonSize.max(key.name() + draft.text()) > this.maxBytes) {
				return CompletableFuture.failedFuture(new StoreException(ErrorCode.STORE_TOO_LARGE, "refused"));
			}
			this.writes++;
			Stored stored = new Stored(key, ++this.version, draft);
			this.objects.put(key, stored);
			return CompletableFuture.completedFuture(stored);
		}

		@Override
		public CompletableFuture<Boolean> delete(ObjectKey key, long expected) {
			return CompletableFuture.completedFuture(this.objects.remove(key) != null);
		}

		@Override
		public String name() {
			return "progress";
		}

		@Override
		public CompletableFuture<Changes<List<ItemProgress>>> list() {
			this.listings++;
			List<Change<List<ItemProgress>>> all = new ArrayList<>();
			this.objects.forEach((key, stored) -> all
				.add(new Change<>(key.name(), Optional.of(ProgressStore.progress(stored)), stored.version())));
			return CompletableFuture.completedFuture(new Changes<>(all, this.version));
		}

		@Override
		public CompletableFuture<Optional<Changes<List<ItemProgress>>>> changes(long after, Duration wait) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

	}

}
