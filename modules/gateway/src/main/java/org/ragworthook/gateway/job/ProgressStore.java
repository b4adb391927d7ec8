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
 * Stores the progress of items on the platform: one object for each process that runs
 * jobs, replaced as a whole. The loss of an object costs work and nothing else.
 */
public final class ProgressStore {

	private final RecordStore store;

	private final ConditionalWriter writer;

	private final Feed<List<ItemProgress>> feed;

	private final ObjectKey key;

	private final ObjectSizeLimit limit;

	/** The object of this process as last written, or empty if that is uncertain. */
	private Optional<Stored> lastWritten = Optional.empty();

	private ProgressStore(RecordStore store, ConditionalWriter writer, Feed<List<ItemProgress>> feed, ObjectKey key) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
		this.feed = Objects.requireNonNull(feed, "feed is null");
		this.key = key;
		this.limit = ObjectSizeLimit.of(store);
	}

	/**
	 * Returns the progress in a store.
	 * @param store reads from the platform's store
	 * @param writer writes to the platform's store
	 * @param feed lists the progress of all processes
	 * @param instance the name of this process
	 * @return the progress
	 */
	public static ProgressStore of(RecordStore store, ConditionalWriter writer, Feed<List<ItemProgress>> feed,
			String instance) {
		return new ProgressStore(store, writer, feed, ObjectKey.of(Kind.PROGRESS, instance));
	}

	/**
	 * Parses the progress from an object that a listing returned.
	 * @param stored the object
	 * @return the progress of items
	 */
	public static List<ItemProgress> progress(Stored stored) {
		return JobDocuments.readProgress(stored.text());
	}

	/**
	 * Returns the maximum size of the progress of one process.
	 * @return the size in bytes, encoded as a JSON string
	 */
	long maxDocumentBytes() {
		return this.limit.bytes();
	}

	/**
	 * Replaces the progress of this process. Must not be called before the previous write
	 * has completed.
	 * @param items the progress of this process's items
	 * @return completes when the object is written
	 */
	CompletableFuture<Void> write(List<ItemProgress> items) {
		String text = JobDocuments.writeProgress(items);
		CompletableFuture<Optional<Stored>> existing = this.lastWritten.isPresent()
				? CompletableFuture.completedFuture(this.lastWritten) : this.store.read(this.key);
		this.lastWritten = Optional.empty();
		return existing.thenCompose((found) -> found.isPresent() ? this.writer.update(found.get(), text)
				: this.writer.create(this.key, text, Labels.empty()))
			.whenComplete((stored, failure) -> {
				if (failure != null) {
					this.limit.writeFailed(text, failure);
				}
			})
			.thenAccept((stored) -> this.lastWritten = Optional.of(stored));
	}

	/**
	 * Reads the progress of all processes.
	 * @return the progress of items; an item can occur several times
	 */
	CompletableFuture<List<ItemProgress>> readAll() {
		return this.feed.list().thenApply((found) -> {
			List<ItemProgress> items = new ArrayList<>();
			found.changes().forEach((change) -> change.value().ifPresent(items::addAll));
			return items;
		});
	}

}
