package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

/**
 * Writes the result record of a chunk. Results that would make the record too large are
 * moved to part objects, which are stored before the record names them.
 */
final class ChunkWriter {

	private final ObjectStore store;

	private final ConditionalWriter writer;

	ChunkWriter(ObjectStore store, ConditionalWriter writer) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	/**
	 * Writes a result record.
	 * @param chunk the chunk
	 * @param record the new content
	 * @return the written record; fails with {@code STORE_CONFLICT} if another owner has
	 * claimed the chunk
	 */
	CompletableFuture<Written> write(ChunkRun chunk, ResultRecord record) {
		String text = record.text();
		if (ResultRecord.escapedLength(text) <= ResultRecord.MAX_BYTES) {
			return update(chunk.stored(), record, text);
		}
		List<List<ItemResult>> groups = grouped(record.results());
		CompletableFuture<ResultRecord> moved = CompletableFuture
			.completedFuture(new ResultRecord(record.head(), List.of()));
		for (List<ItemResult> group : groups) {
			moved = moved.thenCompose((head) -> move(chunk, head, group));
		}
		return moved.thenCompose((head) -> update(chunk.stored(), head, head.text()));
	}

	private static List<List<ItemResult>> grouped(List<ItemResult> results) {
		List<List<ItemResult>> groups = new ArrayList<>();
		List<ItemResult> group = new ArrayList<>();
		int bytes = 0;
		for (ItemResult result : results) {
			int more = ResultRecord.escapedLength(result.text()) + 2;
			if (!group.isEmpty() && bytes + more > ResultRecord.MAX_BYTES) {
				groups.add(group);
				group = new ArrayList<>();
				bytes = 0;
			}
			group.add(result);
			bytes += more;
		}
		groups.add(group);
		return groups;
	}

	// Two owners may move results of the same chunk at once. The epoch in the part's
	// name keeps their parts apart; no record ever names the part of the owner whose
	// write lost.
	private CompletableFuture<ResultRecord> move(ChunkRun chunk, ResultRecord record, List<ItemResult> group) {
		String part = chunk.stored().key().name() + "." + record.head().epoch() + "." + record.head().parts().size();
		String lines = ResultRecord.lines(group);
		ObjectKey key = ObjectKey.of(Kind.RESULT, part);
		return this.writer.create(key, lines, Labels.empty()).handle((stored, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(record.with(group).movedTo(part));
			}
			return StoreRetry.conflict(failure)
					? replace(key, lines).thenApply((done) -> record.with(group).movedTo(part))
					: CompletableFuture.<ResultRecord>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	// Overwrites a part of this same owner, left by an earlier write whose record update
	// did not complete.
	private CompletableFuture<Stored> replace(ObjectKey key, String lines) {
		return this.store.read(key).thenCompose((found) -> this.writer.update(found.orElseThrow(), lines));
	}

	private CompletableFuture<Written> update(Stored last, ResultRecord record, String text) {
		return this.writer.update(last, text).handle((stored, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(new Written(stored, record));
			}
			Optional<ErrorCode> code = ConditionalWriter.codeOf(failure);
			return (code.filter((known) -> known == ErrorCode.STORE_CONFLICT).isPresent())
					? confirmWrite(last, record, text, failure) : CompletableFuture.<Written>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	// After a write with an unknown outcome, the retry conflicts with the first write if
	// that one took effect. Equal text in the store counts as success.
	private CompletableFuture<Written> confirmWrite(Stored last, ResultRecord record, String text, Throwable failure) {
		return this.store.read(last.key()).thenCompose((found) -> {
			Optional<Stored> own = found.filter((stored) -> stored.text().equals(text));
			return own.map((stored) -> CompletableFuture.completedFuture(new Written(stored, record)))
				.orElseGet(() -> CompletableFuture.failedFuture(failure));
		});
	}

	/**
	 * A written result record.
	 *
	 * @param stored the stored object, with its new version
	 * @param record the content of the object
	 */
	record Written(Stored stored, ResultRecord record) {
	}

}
