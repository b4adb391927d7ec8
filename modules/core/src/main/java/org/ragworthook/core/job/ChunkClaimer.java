package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * Claims chunks for an owner. The claim writes the owner's epoch into the chunk's result
 * record before any item is sent. An earlier owner that was paused holds the version
 * before it; its next write conflicts, so that of two owners only one can end an item. An
 * item that may run only once and was started by an earlier owner ends with the claim.
 */
final class ChunkClaimer {

	private static final int TRIES = 4;

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final Predicate<BatchItem> idempotent;

	ChunkClaimer(ObjectStore store, ConditionalWriter writer, Predicate<BatchItem> idempotent) {
		this.idempotent = Objects.requireNonNull(idempotent, "idempotent is null");
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	/**
	 * Claims a chunk.
	 * @param job its job
	 * @param chunk its number
	 * @param epoch the owner's epoch
	 * @return the chunk as it stands; fails with {@code STORE_CONFLICT} if a later owner
	 * has claimed it
	 */
	CompletableFuture<Claimed> claim(JobRecord job, int chunk, long epoch) {
		ObjectKey input = FileRecord.chunkKey(job.input(), chunk);
		return this.store.read(input).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> new StoreException(ErrorCode.INTERNAL, input + " is missing"));
			return claim(new Chunk(job.id(), chunk, items(stored.text())), epoch);
		});
	}

	private List<BatchItem> items(String text) {
		List<BatchItem> items = new ArrayList<>();
		text.lines().forEach((line) -> {
			BatchItem item = BatchItem.parse(items.size() + 1, line);
			items.add(this.idempotent.test(item) ? item : item.once());
		});
		return items;
	}

	private CompletableFuture<Claimed> claim(Chunk chunk, long epoch) {
		ResultRecord empty = ResultRecord.claimed(epoch, chunk.items().size());
		return this.writer.create(chunk.key(), empty.text(), Labels.empty())
			.thenApply((stored) -> new Claimed(chunk.items(), stored, empty, Set.of()))
			.handle((claimed, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(claimed);
				}
				return StoreRetry.conflict(failure) ? takeOver(chunk, epoch, TRIES)
						: CompletableFuture.<Claimed>failedFuture(failure);
			})
			.thenCompose((claimed) -> claimed);
	}

	private CompletableFuture<Claimed> takeOver(Chunk chunk, long epoch, int tries) {
		return this.store.read(chunk.key()).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> new StoreException(ErrorCode.STORE_CONFLICT, "record removed"));
			ResultRecord record = ResultRecord.parse(stored.text());
			if (record.head().epoch() > epoch) {
				throw new StoreException(ErrorCode.STORE_CONFLICT,
						chunk.key() + " is claimed by epoch " + record.head().epoch());
			}
			return ended(record).thenCompose((ended) -> write(chunk, epoch, stored, record, ended, tries));
		});
	}

	private CompletableFuture<Claimed> write(Chunk chunk, long epoch, Stored stored, ResultRecord record,
			Set<Integer> ended, int tries) {
		if (record.complete()) {
			return CompletableFuture.completedFuture(new Claimed(chunk.items(), stored, record, ended));
		}
		List<ItemResult> unknown = record.head()
			.started()
			.stream()
			.filter((index) -> !ended.contains(index))
			.map(chunk::unknown)
			.toList();
		ResultRecord mine = record.with(record.head().by(epoch).with(List.of(), record.head().resumes())).with(unknown);
		Set<Integer> all = new HashSet<>(ended);
		unknown.forEach((result) -> all.add(result.index()));
		return this.writer.update(stored, mine.text())
			.thenApply((written) -> new Claimed(chunk.items(), written, mine, all))
			.handle((claimed, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(claimed);
				}
				return (StoreRetry.conflict(failure) && tries > 1) ? takeOver(chunk, epoch, tries - 1)
						: CompletableFuture.<Claimed>failedFuture(failure);
			})
			.thenCompose((claimed) -> claimed);
	}

	private CompletableFuture<Set<Integer>> ended(ResultRecord record) {
		Set<Integer> ended = new LinkedHashSet<>();
		record.results().forEach((result) -> ended.add(result.index()));
		CompletableFuture<Void> read = CompletableFuture.completedFuture(null);
		for (String part : record.head().parts()) {
			read = read.thenCompose((before) -> part(this.store, part))
				.thenAccept((results) -> results.forEach((result) -> ended.add(result.index())));
		}
		return read.thenApply((done) -> ended);
	}

	/**
	 * Reads the results that were moved to a part.
	 * @param store where it is
	 * @param name the part's name
	 * @return its results
	 */
	static CompletableFuture<List<ItemResult>> part(ObjectStore store, String name) {
		return store.read(ObjectKey.of(Kind.RESULT, name))
			.thenApply((found) -> found.map(Stored::text)
				.map(ResultRecord::parseLines)
				.orElseThrow(() -> new StoreException(ErrorCode.INTERNAL, "part " + name + " is missing")));
	}

	private record Chunk(JobId job, int number, List<BatchItem> items) {

		ObjectKey key() {
			return this.job.resultKey(this.number);
		}

		ItemResult unknown(int index) {
			ItemId name = new ItemId(this.job, this.number, index, this.items.get(index).customId());
			return ItemResult.without(name, ItemStatus.OUTCOME_UNKNOWN, ErrorCode.ITEM_OUTCOME_UNKNOWN,
					"the item was started by an owner that was lost");
		}

	}

	/**
	 * A chunk as its new owner finds it.
	 *
	 * @param items its items
	 * @param stored the result record as it is now
	 * @param record the content of the result record
	 * @param ended the items that have ended, by number
	 */
	record Claimed(List<BatchItem> items, Stored stored, ResultRecord record, Set<Integer> ended) {

		Optional<JobCounts> finished() {
			return this.record.complete() ? Optional.of(this.record.counts()) : Optional.empty();
		}

	}

}
