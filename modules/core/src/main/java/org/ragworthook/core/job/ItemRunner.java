package org.ragworthook.core.job;

import java.time.Duration;
import java.util.Collection;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;

import org.ragworthook.core.error.ErrorCode;

/**
 * Runs the items of a shard owner's open chunks: sends them, handles the outcome of each
 * attempt, and writes results in groups.
 */
final class ItemRunner {

	private static final Duration STORE_RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration CANCELLED_RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration FENCED_RETRY_DELAY = Duration.ofSeconds(1);

	private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);

	private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

	private static final int ISOLATED_CRASH_LIMIT = 2;

	private final ShardOwner owner;

	private final ItemSender sender;

	private final BatchPolicy policy;

	private final ChunkWriter writer;

	ItemRunner(ShardOwner owner, ShardOwner.Builder builder, ChunkWriter writer) {
		this.owner = Objects.requireNonNull(owner, "owner is null");
		this.sender = builder.sender;
		this.policy = builder.policy;
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	// -- sending

	/**
	 * Sends the next ready item of a job. A non-idempotent item is sent once its start is
	 * recorded.
	 * @param job the job
	 * @param freeSlots returns the number of free slots of a route
	 */
	void startNext(JobRun job, ToIntFunction<String> freeSlots) {
		for (ChunkRun chunk : job.chunks()) {
			OptionalInt next = chunk.pollReady(freeSlots);
			if (next.isPresent()) {
				start(chunk, next.getAsInt());
				return;
			}
		}
	}

	// The start of a non-idempotent item is recorded before the item is sent. If this
	// owner is lost, the next one sees the record and does not run the item again.
	private void start(ChunkRun chunk, int index) {
		if (chunk.item(index).idempotent() || chunk.startRecorded(index)) {
			send(chunk, index);
		}
		else {
			chunk.markStarting(index);
			this.owner.serial().execute(() -> write(chunk));
		}
	}

	int startingCount(Collection<JobRun> jobs, String route) {
		int starting = 0;
		for (JobRun job : jobs) {
			for (ChunkRun chunk : job.chunks()) {
				starting += chunk.startingCount(route);
			}
		}
		return starting;
	}

	private void send(ChunkRun chunk, int index) {
		int attempt = chunk.markRunning(index);
		ItemRequest request = new ItemRequest(chunk.itemId(index), chunk.item(index), chunk.job().record().account(),
				this.owner.shard(), this.owner.epoch(), attempt, chunk.isSuspect(index), chunk.resumePoint(index));
		this.sender.send(request).whenCompleteAsync((outcome, failure) -> {
			if (chunk.attemptEnded(index, attempt)) {
				handleOutcome(chunk, index, (failure != null) ? new ItemOutcome.Broken(failure.toString()) : outcome);
			}
		}, this.owner.serial());
	}

	// -- outcomes

	private void handleOutcome(ChunkRun chunk, int index, ItemOutcome outcome) {
		boolean idempotent = chunk.item(index).idempotent();
		if (outcome instanceof ItemOutcome.Answered answered) {
			answered(chunk, index, answered);
		}
		else if (outcome instanceof ItemOutcome.NotPassedOn notPassedOn) {
			Duration delay = notPassedOn.retryAfter();
			retry(chunk, index, (delay.compareTo(MIN_RETRY_DELAY) < 0) ? MIN_RETRY_DELAY : delay);
		}
		else if (outcome instanceof ItemOutcome.Fenced) {
			retry(chunk, index, FENCED_RETRY_DELAY);
		}
		else if (!idempotent) {
			end(chunk, unanswered(chunk, index, ItemStatus.OUTCOME_UNKNOWN, ErrorCode.ITEM_OUTCOME_UNKNOWN,
					"the item was started; its attempt ended as " + outcome.getClass().getSimpleName()));
		}
		else if (outcome instanceof ItemOutcome.Yielded yielded) {
			chunk.saveResumePoint(new ResumePoint(index, yielded.text(), yielded.tokens()));
			ready(chunk, index);
		}
		else if (outcome instanceof ItemOutcome.Crashed crashed) {
			crashed(chunk, index, crashed);
		}
		else if (outcome instanceof ItemOutcome.Broken broken) {
			failed(chunk, index, unanswered(chunk, index, ItemStatus.FAILED, ErrorCode.ITEM_FAILED, broken.detail()));
		}
		else {
			retryCancelled(chunk, index);
		}
		this.owner.requestDispatch();
	}

	// Sidecars may know of a cancellation that this owner has not seen yet. Without the
	// delay the item would be sent and returned in a busy loop.
	private void retryCancelled(ChunkRun chunk, int index) {
		retry(chunk, index, CANCELLED_RETRY_DELAY);
		this.owner.schedule(CANCELLED_RETRY_DELAY, this.owner::relist);
	}

	private void answered(ChunkRun chunk, int index, ItemOutcome.Answered answer) {
		boolean success = answer.status() >= 200 && answer.status() < 300;
		ItemResult result = ItemResult.answered(chunk.itemId(index), success ? ItemStatus.COMPLETED : ItemStatus.FAILED,
				answer);
		if (ResultRecord.escapedLength(result.text()) > ResultRecord.MAX_BYTES) {
			result = unanswered(chunk, index, ItemStatus.FAILED, ErrorCode.ITEM_RESULT_TOO_LARGE,
					"the answer has " + answer.body().length() + " characters");
		}
		boolean transientFailure = answer.status() == 408 || answer.status() == 429 || answer.status() >= 500;
		if (transientFailure && chunk.item(index).idempotent()) {
			failed(chunk, index, result);
		}
		else {
			end(chunk, result);
		}
	}

	private void failed(ChunkRun chunk, int index, ItemResult last) {
		int failures = chunk.recordFailure(index);
		if (failures >= this.policy.maxAttempts()) {
			end(chunk, last);
		}
		else {
			retry(chunk, index, this.policy.backoff(failures));
		}
	}

	// All items in flight at a crash are suspects and run alone from then on. An item
	// ends as poisoned only by crashes while it ran alone, so that the items beside it
	// are not blamed.
	private void crashed(ChunkRun chunk, int index, ItemOutcome.Crashed crash) {
		chunk.markSuspect(index);
		if (crash.inFlight() <= 1 && chunk.recordIsolatedCrash(index) >= ISOLATED_CRASH_LIMIT) {
			end(chunk, unanswered(chunk, index, ItemStatus.POISONED, ErrorCode.ITEM_POISONED,
					"the item crashed " + ISOLATED_CRASH_LIMIT + " upstreams that ran nothing else"));
		}
		else {
			retry(chunk, index, this.policy.initialBackoff());
		}
	}

	private void retry(ChunkRun chunk, int index, Duration delay) {
		if (chunk.job().cancelling()) {
			cancelUnfinished(chunk);
			return;
		}
		this.owner.schedule(delay, () -> {
			ready(chunk, index);
			this.owner.requestDispatch();
		});
	}

	private void ready(ChunkRun chunk, int index) {
		if (chunk.closed()) {
			return;
		}
		if (chunk.job().cancelling()) {
			cancelUnfinished(chunk);
			return;
		}
		chunk.enqueue(index, true);
	}

	private static ItemResult unanswered(ChunkRun chunk, int index, ItemStatus end, ErrorCode code, String detail) {
		return ItemResult.unanswered(chunk.itemId(index), end, code, detail);
	}

	// -- results

	private void end(ChunkRun chunk, ItemResult result) {
		chunk.end(result);
		this.owner.itemEnded();
		writeIfDue(chunk);
	}

	private void writeIfDue(ChunkRun chunk) {
		if (chunk.writeDue(this.policy.checkpointsPerChunk())) {
			write(chunk);
		}
		else if (chunk.hasUnwritten() && !chunk.writeScheduled()) {
			chunk.writeScheduled(true);
			this.owner.schedule(this.policy.checkpointInterval(), () -> {
				chunk.writeScheduled(false);
				write(chunk);
			});
		}
		notifyIfComplete(chunk);
	}

	void write(ChunkRun chunk) {
		if (chunk.writing() || chunk.closed() || !chunk.hasUnwritten()) {
			return;
		}
		ChunkRun.PendingWrite pending = chunk.beginWrite(this.owner.epoch());
		this.writer.write(chunk, pending.record()).whenCompleteAsync((written, failure) -> {
			if (chunk.closed()) {
				return;
			}
			if (failure == null) {
				resultsWritten(chunk, pending, written);
			}
			else if (StoreRetry.conflict(failure)) {
				this.owner.dropJob(chunk.job());
			}
			else {
				this.owner.schedule(STORE_RETRY_DELAY, () -> {
					chunk.writeFailed();
					write(chunk);
				});
			}
		}, this.owner.serial());
	}

	private void resultsWritten(ChunkRun chunk, ChunkRun.PendingWrite pending, ChunkWriter.Written result) {
		for (int index : chunk.writeSucceeded(pending, result.stored(), result.record())) {
			if (this.owner.mayStart(chunk.job())) {
				send(chunk, index);
			}
			else {
				ready(chunk, index);
			}
		}
		writeIfDue(chunk);
	}

	private void notifyIfComplete(ChunkRun chunk) {
		if (chunk.complete() && !chunk.closed()) {
			this.owner.chunkComplete(chunk);
		}
	}

	// -- stopping

	/**
	 * Ends as cancelled all items of a chunk that are not running, and drops its queues.
	 * @param chunk a chunk of a job that is being cancelled
	 */
	void cancelUnfinished(ChunkRun chunk) {
		chunk.clearReady();
		cancelUnfinished(chunk, false);
	}

	private void cancelUnfinished(ChunkRun chunk, boolean includeRunning) {
		for (int index : chunk.unfinished(includeRunning)) {
			boolean running = includeRunning && !chunk.item(index).idempotent();
			chunk.end(running
					? unanswered(chunk, index, ItemStatus.OUTCOME_UNKNOWN, ErrorCode.ITEM_OUTCOME_UNKNOWN,
							"the item was running when its job was cancelled")
					: unanswered(chunk, index, ItemStatus.CANCELLED, ErrorCode.ITEM_CANCELLED,
							"the job was cancelled"));
		}
		writeIfDue(chunk);
	}

	void cancel(JobRun job) {
		this.sender.cancel(job.id());
		this.owner.schedule(this.policy.gracePeriod(),
				() -> job.chunks().forEach((chunk) -> cancelUnfinished(chunk, true)));
	}

	boolean hasRunningNonIdempotent(JobRun job) {
		return job.chunks().stream().anyMatch(ChunkRun::hasRunningNonIdempotent);
	}

	void recall(JobRun job) {
		if (job.chunks().stream().anyMatch((chunk) -> chunk.running() > 0)) {
			this.sender.recall(job.id());
		}
	}

	void flushAll(Collection<JobRun> jobs) {
		jobs.forEach((job) -> job.chunks().forEach(this::write));
	}

	/**
	 * Completes a future when a condition holds, by polling it.
	 * @param idle whether no work is in progress
	 * @param done the future, completed when the condition holds
	 */
	void whenIdle(BooleanSupplier idle, CompletableFuture<Void> done) {
		if (done.isDone()) {
			return;
		}
		if (idle.getAsBoolean()) {
			done.complete(null);
			return;
		}
		this.owner.schedule(IDLE_CHECK_INTERVAL, () -> whenIdle(idle, done));
	}

}
