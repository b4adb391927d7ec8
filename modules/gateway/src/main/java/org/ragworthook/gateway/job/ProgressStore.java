package org.ragworthook.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.RecordStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.gateway.feed.Feed;

/**
 * How far items are, in the platform's store: one object for each process that runs jobs,
 * which it replaces as a whole. Losing one costs work and nothing else.
 */
public final class ProgressStore {

	private final RecordStore store;

	private final ConditionalWriter writer;

	private final Feed<List<ItemProgress>> all;

	private final ObjectKey key;

	/** The object of this process as it was written last, or empty if that is unsure. */
	private Optional<Stored> newest = Optional.empty();

	private ProgressStore(RecordStore store, ConditionalWriter writer, Feed<List<ItemProgress>> all, ObjectKey key) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.all = Objects.requireNonNull(all, "all is null");
		this.key = key;
	}

	/**
	 * Returns the progress of a store.
	 * @param store the platform's store
	 * @param writer writes to it
	 * @param all what all processes have written
	 * @param instance the name of this process
	 * @return the progress
	 */
	public static ProgressStore of(RecordStore store, ConditionalWriter writer, Feed<List<ItemProgress>> all,
			String instance) {
		return new ProgressStore(store, writer, all, ObjectKey.of(Kind.PROGRESS, instance));
	}

	/**
	 * Reads the progress from an object that a listing showed.
	 * @param stored the object
	 * @return the items
	 */
	public static List<ItemProgress> progress(Stored stored) {
		return JobDocuments.readProgress(stored.text());
	}

	/**
	 * Replaces what this process has written. Not to be called before the last call has
	 * completed.
	 * @param items how far its items are
	 * @return completes once the store has it
	 */
	CompletableFuture<Void> write(List<ItemProgress> items) {
		String text = JobDocuments.writeProgress(items);
		CompletableFuture<Optional<Stored>> before = this.newest.isPresent()
				? CompletableFuture.completedFuture(this.newest) : this.store.read(this.key);
		this.newest = Optional.empty();
		return before
			.thenCompose((found) -> found.isPresent() ? this.writer.update(found.get(), text)
					: this.writer.create(this.key, text, Labels.empty()))
			.thenAccept((stored) -> this.newest = Optional.of(stored));
	}

	/**
	 * Reads what all processes have written.
	 * @return the items; one can be there several times
	 */
	CompletableFuture<List<ItemProgress>> readAll() {
		return this.all.list().thenApply((found) -> {
			List<ItemProgress> items = new ArrayList<>();
			found.changes().forEach((change) -> change.value().ifPresent(items::addAll));
			return items;
		});
	}

}
