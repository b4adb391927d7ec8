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
 * Runs the items of an owner's open chunks: sends them, judges what became of each
 * attempt, and writes results in groups.
 */
final class ItemRunner {

	private static final Duration RETRY = Duration.ofSeconds(1);

	private static final Duration STOPPED_PAUSE = Duration.ofSeconds(1);

	private static final Duration FENCED_PAUSE = Duration.ofSeconds(1);

	private static final Duration SHORTEST_PAUSE = Duration.ofMillis(100);

	private static final Duration QUIET_CHECK = Duration.ofMillis(50);

	private static final int CRASHES_TO_CONVICT = 2;

	private final ShardOwner owner;

	private final ItemSender sender;

	private final BatchPolicy policy;

	private final ChunkWriter writer;

	ItemRunner(ShardOwner owner, ShardOwner.Builder parts, ChunkWriter writer) {
		this.owner = Objects.requireNonNull(owner, "owner is null");
		this.sender = parts.sender;
		this.policy = parts.policy;
		this.writer = Objects.requireNonNull(writer, "writer is null");
	}

	// -- sending

	/**
	 * Sends the next item of a job, or has it recorded as started first.
	 * @param job the job
	 * @param room what sidecars would hold of a route
	 */
	void startNext(JobRun job, ToIntFunction<String> room) {
		for (ChunkRun chunk : job.chunks()) {
			OptionalInt next = chunk.nextReady(room);
			if (next.isPresent()) {
				start(chunk, next.getAsInt());
				return;
			}
		}
	}

	// An item that may run only once is recorded as started before it is sent. Should
	// this owner be lost, the next one finds it started and does not run it again.
	private void start(ChunkRun chunk, int index) {
		if (chunk.item(index).idempotent() || chunk.isStarted(index)) {
			send(chunk, index);
		}
		else {
			chunk.toStart(index);
			this.owner.serial().execute(() -> write(chunk));
		}
	}

	int startingOn(Collection<JobRun> jobs, String route) {
		int starting = 0;
		for (JobRun job : jobs) {
			for (ChunkRun chunk : job.chunks()) {
				starting += chunk.startingOn(route);
			}
		}
		return starting;
	}

	private void send(ChunkRun chunk, int index) {
		int attempt = chunk.nowRunning(index);
		ItemRequest request = new ItemRequest(chunk.name(index), chunk.item(index), chunk.job().record().account(),
				this.owner.shard(), this.owner.epoch(), attempt, chunk.suspected(index), chunk.resume(index));
		this.sender.send(request).whenCompleteAsync((outcome, failure) -> {
			if (chunk.returned(index, attempt)) {
				judge(chunk, index, (failure != null) ? new ItemOutcome.Broken(failure.toString()) : outcome);
			}
		}, this.owner.serial());
	}

	// -- judging

	private void judge(ChunkRun chunk, int index, ItemOutcome outcome) {
		boolean again = chunk.item(index).idempotent();
		if (outcome instanceof ItemOutcome.Answered answered) {
			answered(chunk, index, answered);
		}
		else if (outcome instanceof ItemOutcome.NotPassedOn notPassedOn) {
			Duration pause = notPassedOn.retryAfter();
			retry(chunk, index, (pause.compareTo(SHORTEST_PAUSE) < 0) ? SHORTEST_PAUSE : pause);
		}
		else if (outcome instanceof ItemOutcome.Fenced) {
			retry(chunk, index, FENCED_PAUSE);
		}
		else if (!again) {
			end(chunk, without(chunk, index, ItemStatus.OUTCOME_UNKNOWN, ErrorCode.ITEM_OUTCOME_UNKNOWN,
					"the item was started; its attempt ended as " + outcome.getClass().getSimpleName()));
		}
		else if (outcome instanceof ItemOutcome.Yielded yielded) {
			chunk.resumeFrom(new ResumePoint(index, yielded.text(), yielded.tokens()));
			ready(chunk, index);
		}
		else if (outcome instanceof ItemOutcome.Crashed crashed) {
			crashed(chunk, index, crashed);
		}
		else if (outcome instanceof ItemOutcome.Broken broken) {
			failed(chunk, index, without(chunk, index, ItemStatus.FAILED, ErrorCode.ITEM_FAILED, broken.detail()));
		}
		else {
			stopped(chunk, index);
		}
		this.owner.wake();
	}

	// Sidecars may know of a cancel that this owner has not heard of yet. Sent again at
	// once, the item would come back at once, and the entry would do nothing else.
	private void stopped(ChunkRun chunk, int index) {
		retry(chunk, index, STOPPED_PAUSE);
		this.owner.later(STOPPED_PAUSE, this.owner::relist);
	}

	private void answered(ChunkRun chunk, int index, ItemOutcome.Answered answer) {
		boolean success = answer.status() >= 200 && answer.status() < 300;
		ItemResult result = ItemResult.answered(chunk.name(index), success ? ItemStatus.COMPLETED : ItemStatus.FAILED,
				answer);
		if (ResultRecord.bytes(result.text()) > ResultRecord.MAX_BYTES) {
			result = without(chunk, index, ItemStatus.FAILED, ErrorCode.ITEM_RESULT_TOO_LARGE,
					"the answer has " + answer.body().length() + " characters");
		}
		boolean passing = answer.status() == 408 || answer.status() == 429 || answer.status() >= 500;
		if (passing && chunk.item(index).idempotent()) {
			failed(chunk, index, result);
		}
		else {
			end(chunk, result);
		}
	}

	private void failed(ChunkRun chunk, int index, ItemResult last) {
		int failures = chunk.failed(index);
		if (failures >= this.policy.attempts()) {
			end(chunk, last);
		}
		else {
			retry(chunk, index, this.policy.pause(failures));
		}
	}

	// All that were in flight at a crash are suspects and run alone from then on. Only
	// crashes of its own convict an item, so that its neighbours are not condemned.
	private void crashed(ChunkRun chunk, int index, ItemOutcome.Crashed crash) {
		chunk.suspect(index);
		if (crash.inFlight() <= 1 && chunk.crashedAlone(index) >= CRASHES_TO_CONVICT) {
			end(chunk, without(chunk, index, ItemStatus.POISONED, ErrorCode.ITEM_POISONED,
					"the item crashed " + CRASHES_TO_CONVICT + " upstreams that ran nothing else"));
		}
		else {
			retry(chunk, index, this.policy.firstPause());
		}
	}

	private void retry(ChunkRun chunk, int index, Duration pause) {
		if (chunk.job().cancelling()) {
			endOpen(chunk);
			return;
		}
		this.owner.later(pause, () -> {
			ready(chunk, index);
			this.owner.wake();
		});
	}

	private void ready(ChunkRun chunk, int index) {
		if (chunk.closed()) {
			return;
		}
		if (chunk.job().cancelling()) {
			endOpen(chunk);
			return;
		}
		chunk.makeReady(index, true);
	}

	private static ItemResult without(ChunkRun chunk, int index, ItemStatus end, ErrorCode code, String detail) {
		return ItemResult.without(chunk.name(index), end, code, detail);
	}

	// -- results

	private void end(ChunkRun chunk, ItemResult result) {
		chunk.end(result);
		this.owner.itemEnded();
		writeIfDue(chunk);
	}

	private void writeIfDue(ChunkRun chunk) {
		if (chunk.mustWrite(this.policy.checkpoints())) {
			write(chunk);
		}
		else if (chunk.dirty() && !chunk.timed()) {
			chunk.timed(true);
			this.owner.later(this.policy.checkpointEvery(), () -> {
				chunk.timed(false);
				write(chunk);
			});
		}
		settle(chunk);
	}

	void write(ChunkRun chunk) {
		if (chunk.writing() || chunk.closed() || !chunk.dirty()) {
			return;
		}
		ChunkRun.Pending pending = chunk.begin(this.owner.epoch());
		this.writer.write(chunk, pending.record()).whenCompleteAsync((written, failure) -> {
			if (chunk.closed()) {
				return;
			}
			if (failure == null) {
				wrote(chunk, pending, written);
			}
			else if (StoreRetry.conflict(failure)) {
				this.owner.drop(chunk.job());
			}
			else {
				this.owner.later(RETRY, () -> {
					chunk.notWritten();
					write(chunk);
				});
			}
		}, this.owner.serial());
	}

	private void wrote(ChunkRun chunk, ChunkRun.Pending pending, ChunkWriter.Written written) {
		for (int index : chunk.wrote(pending, written.stored(), written.record())) {
			if (this.owner.mayStart(chunk.job())) {
				send(chunk, index);
			}
			else {
				ready(chunk, index);
			}
		}
		writeIfDue(chunk);
	}

	private void settle(ChunkRun chunk) {
		if (chunk.settled() && !chunk.closed()) {
			this.owner.chunkSettled(chunk);
		}
	}

	// -- stopping

	/**
	 * Ends as cancelled what is not running, and what is found running after the grace.
	 * @param chunk a chunk of a job that is being cancelled
	 */
	void endOpen(ChunkRun chunk) {
		chunk.clearReady();
		endOpen(chunk, false);
	}

	private void endOpen(ChunkRun chunk, boolean alsoRunning) {
		for (int index : chunk.open(alsoRunning)) {
			boolean running = alsoRunning && !chunk.item(index).idempotent();
			chunk.end(running
					? without(chunk, index, ItemStatus.OUTCOME_UNKNOWN, ErrorCode.ITEM_OUTCOME_UNKNOWN,
							"the item was running when its job was cancelled")
					: without(chunk, index, ItemStatus.CANCELLED, ErrorCode.ITEM_CANCELLED, "the job was cancelled"));
		}
		writeIfDue(chunk);
	}

	void cancel(JobRun job) {
		this.sender.cancel(job.id());
		this.owner.later(this.policy.grace(), () -> job.chunks().forEach((chunk) -> endOpen(chunk, true)));
	}

	boolean runsOnce(JobRun job) {
		return job.chunks().stream().anyMatch(ChunkRun::runsOnce);
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
	 * Completes a future once nothing is under way.
	 * @param quiet whether that is so
	 * @param done completed then
	 */
	void whenQuiet(BooleanSupplier quiet, CompletableFuture<Void> done) {
		if (done.isDone()) {
			return;
		}
		if (quiet.getAsBoolean()) {
			done.complete(null);
			return;
		}
		this.owner.later(QUIET_CHECK, () -> whenQuiet(quiet, done));
	}

}
