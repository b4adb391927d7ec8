package org.ragworthook.standin.platform;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.store.WatchEvent;

import static com.google.common.truth.Truth.assertThat;

/**
 * The laws of {@link ObjectStore}, which every implementation must keep.
 */
abstract class ObjectStoreTests {

	private static final ObjectKey KEY = ObjectKey.of(Kind.JOB, "cut-sheets-1");

	/**
	 * Returns an empty store.
	 * @return the store under test
	 */
	abstract ObjectStore store();

	/**
	 * Ends all watches of the store, as a platform that restarts does.
	 */
	abstract void endWatches();

	@Test
	void shouldReadWhatWasCreated() {
		Draft draft = new Draft("width: 120 cm — ü", Labels.of("shard", "7").with("account", "a"), "w#1");
		Stored created = store().create(KEY, draft).join();
		Stored read = store().read(KEY).join().orElseThrow();
		assertThat(read).isEqualTo(created);
		assertThat(read.draft()).isEqualTo(draft);
	}

	@Test
	void shouldTellThatNothingIsThere() {
		assertThat(store().read(KEY).join()).isEqualTo(Optional.empty());
		assertThat(store().delete(KEY, 1).join()).isFalse();
	}

	@Test
	void shouldRefuseSecondCreate() {
		store().create(KEY, Draft.of("first", "a#1")).join();
		assertFails(ErrorCode.STORE_CONFLICT, () -> store().create(KEY, Draft.of("second", "b#1")).join());
		assertThat(store().read(KEY).join().orElseThrow().text()).isEqualTo("first");
	}

	@Test
	void shouldUpdateOnlyTheExpectedVersion() {
		Stored first = store().create(KEY, Draft.of("1", "a#1")).join();
		Stored second = store().update(KEY, Draft.of("2", "a#2"), first.version()).join();
		assertThat(second.version()).isGreaterThan(first.version());
		assertFails(ErrorCode.STORE_CONFLICT, () -> store().update(KEY, Draft.of("3", "b#1"), first.version()).join());
		assertThat(store().read(KEY).join().orElseThrow()).isEqualTo(second);
	}

	@Test
	void shouldRefuseToUpdateWhatIsGone() {
		assertFails(ErrorCode.STORE_CONFLICT, () -> store().update(KEY, Draft.of("1", "a#1"), 1).join());
	}

	@Test
	void shouldDeleteOnlyTheExpectedVersion() {
		Stored first = store().create(KEY, Draft.of("1", "a#1")).join();
		Stored second = store().update(KEY, Draft.of("2", "a#2"), first.version()).join();
		assertFails(ErrorCode.STORE_CONFLICT, () -> store().delete(KEY, first.version()).join());
		assertThat(store().delete(KEY, second.version()).join()).isTrue();
		assertThat(store().read(KEY).join()).isEqualTo(Optional.empty());
	}

	@Test
	void shouldListByLabelAndKind() {
		store().create(ObjectKey.of(Kind.JOB, "b"), new Draft("", Labels.of("shard", "1"), "a#1")).join();
		store().create(ObjectKey.of(Kind.JOB, "a"), new Draft("", Labels.of("shard", "1"), "a#2")).join();
		store().create(ObjectKey.of(Kind.JOB, "c"), new Draft("", Labels.of("shard", "2"), "a#3")).join();
		store().create(ObjectKey.of(Kind.CHUNK, "d"), new Draft("", Labels.of("shard", "1"), "a#4")).join();
		Listing listing = store().list(Kind.JOB, Labels.of("shard", "1")).join();
		assertThat(listing.objects().stream().map((stored) -> stored.key().name()).toList()).containsExactly("a", "b")
			.inOrder();
		assertThat(store().list(Kind.JOB, Labels.empty()).join().objects()).hasSize(3);
	}

	@Test
	void shouldTakeValuesUpToTheLimitOnly() {
		Draft largest = Draft.of("x".repeat(Draft.MAX_BYTES), "a#1");
		assertThat(store().create(KEY, largest).join().draft().bytes()).isEqualTo(Draft.MAX_BYTES);
		Draft larger = Draft.of("x".repeat(Draft.MAX_BYTES + 1), "a#2");
		assertFails(ErrorCode.STORE_TOO_LARGE, () -> store().create(ObjectKey.of(Kind.JOB, "larger"), larger).join());
	}

	@Test
	void shouldWatchWithoutAGapAfterAListing() throws InterruptedException {
		Labels shard = Labels.of("shard", "1");
		store().create(ObjectKey.of(Kind.JOB, "before"), new Draft("", shard, "a#1")).join();
		Listing listing = store().list(Kind.JOB, shard).join();
		Stored between = store().create(ObjectKey.of(Kind.JOB, "between"), new Draft("", shard, "a#2")).join();
		BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
		try (ObjectStore.Watch watch = store().watch(Kind.JOB, shard, listing.version(), events::add, () -> {
		})) {
			assertThat(watch).isNotNull();
			assertThat(next(events)).isEqualTo(new WatchEvent(between, false));
			store().create(ObjectKey.of(Kind.JOB, "other"), new Draft("", Labels.of("shard", "2"), "a#3")).join();
			Stored after = store().create(ObjectKey.of(Kind.JOB, "after"), new Draft("", shard, "a#4")).join();
			assertThat(next(events)).isEqualTo(new WatchEvent(after, false));
			store().delete(after.key(), after.version()).join();
			WatchEvent gone = next(events);
			assertThat(gone.gone()).isTrue();
			assertThat(gone.object().key()).isEqualTo(after.key());
		}
	}

	// The platform restarts and ends all watches. A process that was not told would act
	// by
	// old state for ever; told twice, it would list and watch twice over.
	@Test
	void shouldTellOnceThatAWatchEnded() throws InterruptedException {
		AtomicInteger ends = new AtomicInteger();
		BlockingQueue<Object> ended = new LinkedBlockingQueue<>();
		BlockingQueue<WatchEvent> events = new LinkedBlockingQueue<>();
		ObjectStore.Watch watch = store().watch(Kind.JOB, Labels.empty(), 0, events::add, () -> {
			ends.incrementAndGet();
			ended.add("ended");
		});
		store().create(KEY, Draft.of("1", "a#1")).join();
		next(events);
		endWatches();
		assertThat(ended.poll(10, TimeUnit.SECONDS)).isNotNull();
		watch.close();
		endWatches();
		assertThat(ends.get()).isEqualTo(1);
	}

	static WatchEvent next(BlockingQueue<WatchEvent> events) throws InterruptedException {
		WatchEvent event = events.poll(10, TimeUnit.SECONDS);
		assertThat(event).isNotNull();
		return event;
	}

	static void assertFails(ErrorCode code, Runnable call) {
		Optional<ErrorCode> met = Optional.empty();
		try {
			call.run();
		}
		catch (CompletionException ex) {
			met = ConditionalWriter.codeOf(ex);
		}
		assertThat(met).isEqualTo(Optional.of(code));
	}

}
