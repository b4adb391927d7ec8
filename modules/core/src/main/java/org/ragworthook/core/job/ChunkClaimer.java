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
 * Claims chunks for a shard owner. A claim writes the owner's epoch into the chunk's
 * result record before any item is sent. A paused earlier owner holds an older version of
 * the record, so its next write fails with a conflict and only one owner can record the
 * end of an item. The claim also ends non-idempotent items that an earlier owner had
 * started, with an unknown outcome.
 */
final class ChunkClaimer {

	private static final int MAX_ATTEMPTS = 4;

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
	 * @param job the job
	 * @param chunk the number of the chunk in the job, from 0
	 * @param epoch the owner's epoch
	 * @return the claimed chunk; fails with {@code STORE_CONFLICT} if an owner with a
	 * higher epoch has claimed it
	 */
	CompletableFuture<Claimed> claim(JobRecord job, int chunk, long epoch) {
		ObjectKey input = FileRecord.chunkKey(job.input(), chunk);
		return this.store.read(input).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> new StoreException(ErrorCode.INTERNAL, input + " is missing"));
			return claim(new Chunk(job.id(), chunk, parseItems(stored.text())), epoch);
		});
	}

	private List<BatchItem> parseItems(String text) {
		List<BatchItem> items = new ArrayList<>();
		text.lines().forEach((line) -> {
			BatchItem item = BatchItem.parse(items.size() + 1, line);
			items.add(this.idempotent.test(item) ? item : item.asNonIdempotent());
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
				return StoreRetry.conflict(failure) ? takeOver(chunk, epoch, MAX_ATTEMPTS)
						: CompletableFuture.<Claimed>failedFuture(failure);
			})
			.thenCompose((claimed) -> claimed);
	}

	private CompletableFuture<Claimed> takeOver(Chunk chunk, long epoch, int attemptsLeft) {
		return this.store.read(chunk.key()).thenCompose((found) -> {
			Stored stored = found.orElseThrow(() -> new StoreException(ErrorCode.STORE_CONFLICT, "record removed"));
			ResultRecord record = ResultRecord.parse(stored.text());
			if (record.head().epoch() > epoch) {
				throw new StoreException(ErrorCode.STORE_CONFLICT,
						chunk.key() + " is claimed by epoch " + record.head().epoch());
			}
			return readEnded(record).thenCompose((ended) -> write(chunk, epoch, stored, record, ended, attemptsLeft));
		});
	}

	private CompletableFuture<Claimed> write(Chunk chunk, long epoch, Stored stored, ResultRecord record,
			Set<Integer> ended, int attemptsLeft) {
		if (record.complete()) {
			return CompletableFuture.completedFuture(new Claimed(chunk.items(), stored, record, ended));
		}
		List<ItemResult> outcomeUnknown = record.head()
			.started()
			.stream()
			.filter((index) -> !ended.contains(index))
			.map(chunk::outcomeUnknown)
			.toList();
		ResultRecord updated = record.with(record.head().withEpoch(epoch).withItems(List.of(), record.head().resumes()))
			.with(outcomeUnknown);
		Set<Integer> all = new HashSet<>(ended);
		outcomeUnknown.forEach((result) -> all.add(result.index()));
		return this.writer.update(stored, updated.text())
			.thenApply((written) -> new Claimed(chunk.items(), written, updated, all))
			.handle((claimed, failure) -> {
				if (failure == null) {
					return CompletableFuture.completedFuture(claimed);
				}
				return (StoreRetry.conflict(failure) && attemptsLeft > 1) ? takeOver(chunk, epoch, attemptsLeft - 1)
						: CompletableFuture.<Claimed>failedFuture(failure);
			})
			.thenCompose((claimed) -> claimed);
	}

	private CompletableFuture<Set<Integer>> readEnded(ResultRecord record) {
		Set<Integer> ended = new LinkedHashSet<>();
		record.results().forEach((result) -> ended.add(result.index()));
		CompletableFuture<Void> read = CompletableFuture.completedFuture(null);
		for (String part : record.head().parts()) {
			read = read.thenCompose((before) -> readPart(this.store, part))
				.thenAccept((results) -> results.forEach((result) -> ended.add(result.index())));
		}
		return read.thenApply((done) -> ended);
	}

	/**
	 * Reads the results that were moved to a part object.
	 * @param store the object store
	 * @param name the name of the part object
	 * @return the results in it; fails with {@code INTERNAL} if the object is missing
	 */
	static CompletableFuture<List<ItemResult>> readPart(ObjectStore store, String name) {
		return store.read(ObjectKey.of(Kind.RESULT, name))
			.thenApply((found) -> found.map(Stored::text)
				.map(ResultRecord::parseLines)
				.orElseThrow(() -> new StoreException(ErrorCode.INTERNAL, "part " + name + " is missing")));
	}

	private record Chunk(JobId job, int number, List<BatchItem> items) {

		ObjectKey key() {
			return this.job.resultKey(this.number);
		}

		ItemResult outcomeUnknown(int index) {
			ItemId id = new ItemId(this.job, this.number, index, this.items.get(index).customId());
			return ItemResult.unanswered(id, ItemStatus.OUTCOME_UNKNOWN, ErrorCode.ITEM_OUTCOME_UNKNOWN,
					"the item was started by an owner that was lost");
		}

	}

	/**
	 * A claimed chunk.
	 *
	 * @param items the items of the chunk
	 * @param stored the stored result record, with its current version
	 * @param record the parsed result record
	 * @param ended the indexes of the items that have ended
	 */
	record Claimed(List<BatchItem> items, Stored stored, ResultRecord record, Set<Integer> ended) {

		Optional<JobCounts> finalCounts() {
			return this.record.complete() ? Optional.of(this.record.counts()) : Optional.empty();
		}

	}

}
