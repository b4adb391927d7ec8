package org.ragworthook.core.job;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Works on the jobs of one shard, as long as this entry holds its lease. Chooses which
 * item is next; {@link ItemRunner} runs items and {@link JobRecordWriter} keeps the
 * records.
 * <p>
 * All state can be read back from the platform: an owner that takes over lists the open
 * jobs of the shard and claims their chunks one after another.
 */
public final class ShardOwner {

	private static final Duration RETRY = Duration.ofSeconds(1);

	private static final long PACE_EVERY = Duration.ofSeconds(1).toNanos();

	private final Builder builder;

	private final int shard;

	private final SerialExecutor serial = new SerialExecutor();

	private final ChunkClaimer claims;

	private final ItemRunner runs;

	private final JobRecordWriter records;

	private final StrideScheduler shares;

	private final ItemRate pace = new ItemRate();

	private final Map<JobId, JobRun> jobs = new HashMap<>();

	private long epoch;

	private boolean active;

	private boolean loading;

	private boolean loaded;

	private long paceNanos;

	private ShardOwner(Builder builder, int shard) {
		this.builder = builder;
		this.shard = shard;
		ConditionalWriter writer = ConditionalWriter.of(builder.store, builder.stamps);
		this.claims = new ChunkClaimer(builder.store, writer, builder.idempotent);
		this.shares = new StrideScheduler(builder.weights);
		this.runs = new ItemRunner(this, builder, new ChunkWriter(builder.store, writer));
		this.records = new JobRecordWriter(this, builder, writer);
	}

	/**
	 * Returns a builder of owners.
	 * @param store where jobs are kept
	 * @param stamps marks each write
	 * @param sender hands items to sidecars
	 * @return the builder
	 */
	public static Builder builder(ObjectStore store, Stamps stamps, ItemSender sender) {
		return new Builder(store, stamps, sender);
	}

	// -- in charge or not

	/**
	 * Begins work, or goes on with it after the lease had lapsed and nobody took it over.
	 * @param lease the lease
	 */
	public void own(Lease lease) {
		this.serial.execute(() -> {
			if (lease.epoch() != this.epoch) {
				this.jobs.values().forEach(JobRun::close);
				this.jobs.clear();
			}
			this.epoch = lease.epoch();
			this.active = true;
			this.loaded = false;
			load();
		});
	}

	/**
	 * Stops to send items, because the lease has lapsed. Results that come are still
	 * written; whether they count is for the conditional write to decide.
	 */
	public void lapse() {
		this.serial.execute(() -> this.active = false);
	}

	/**
	 * Brings the shard's work to a point from which another can go on: running items are
	 * called back, but for those that may run only once, which are waited for; results
	 * are written.
	 * @return completes when the lease may be released
	 */
	public CompletableFuture<Void> leave() {
		CompletableFuture<Void> left = new CompletableFuture<>();
		this.serial.execute(() -> {
			this.active = false;
			this.jobs.values().stream().filter((job) -> !this.runs.runsOnce(job)).forEach(this.runs::recall);
			this.runs.whenQuiet(this::quiet, left);
			this.builder.timers.schedule(this.builder.policy.grace(), () -> left.complete(null));
		});
		return left;
	}

	private boolean quiet() {
		this.runs.flushAll(this.jobs.values());
		return this.jobs.values().stream().noneMatch(JobRun::busy);
	}

	/**
	 * Reads the open jobs of the shard again, in place of a watch.
	 */
	public void relist() {
		this.serial.execute(this::load);
	}

	private void load() {
		if (this.loading || !this.active) {
			return;
		}
		this.loading = true;
		Labels open = Labels.of(JobRecord.SHARD, Integer.toString(this.shard)).with(JobRecord.STATE, JobRecord.OPEN);
		this.builder.store.list(Kind.JOB, open).whenCompleteAsync((listing, failure) -> {
			this.loading = false;
			if (!this.active) {
				return;
			}
			if (failure != null) {
				later(RETRY, this::load);
				return;
			}
			this.loaded = true;
			listing.objects().forEach(this::take);
			wake();
		}, this.serial);
	}

	/**
	 * Takes note of a job's record, as a watch reports it.
	 * @param stored the record
	 */
	public void changed(Stored stored) {
		this.serial.execute(() -> {
			take(stored);
			wake();
		});
	}

	private void take(Stored stored) {
		JobRecord record = JobRecord.parse(stored.text());
		JobRun job = this.jobs.get(record.id());
		if (record.shard() != this.shard || !this.active) {
			return;
		}
		if (job == null) {
			if (!record.status().ended()) {
				job = new JobRun(stored, record);
				this.jobs.put(job.id(), job);
				this.shares.keep(accounts());
			}
		}
		else if (stored.version() > job.stored().version() && !job.writing()) {
			job.adopt(stored, record);
		}
		if (job != null) {
			this.records.check(job);
		}
	}

	private List<String> accounts() {
		return this.jobs.values().stream().map((job) -> job.record().account()).toList();
	}

	// -- choice of items

	/**
	 * Sends items, as many as sidecars have room for.
	 * @param most how many at most
	 * @return how many were sent
	 */
	public CompletableFuture<Integer> pumpUpTo(int most) {
		CompletableFuture<Integer> sent = new CompletableFuture<>();
		this.serial.execute(() -> sent.complete(pump(most)));
		return sent;
	}

	void wake() {
		if (this.builder.wake.isPresent()) {
			this.builder.wake.get().run();
		}
		else {
			pump(Integer.MAX_VALUE);
		}
	}

	private int pump(int most) {
		if (!mayAct()) {
			return 0;
		}
		updatePace();
		int sent = 0;
		while (sent < most) {
			Optional<JobRun> job = best((candidate) -> candidate.hasReady(this::freeSlots));
			if (job.isEmpty()) {
				break;
			}
			this.runs.startNext(job.get(), this::freeSlots);
			this.shares.sent(job.get().record().account(), job.get().urgency());
			sent++;
		}
		openChunks();
		return sent;
	}

	// The belief in the lease is asked for again before each round: a thread may have
	// been halted since the last.
	private boolean mayAct() {
		return this.active
				&& this.builder.held.apply(this.shard).filter((now) -> now.epoch() == this.epoch).isPresent();
	}

	private int freeSlots(String route) {
		return this.builder.sender.freeSlots(route) - this.runs.startingOn(this.jobs.values(), route);
	}

	private Optional<JobRun> best(Predicate<JobRun> candidates) {
		return this.jobs.values()
			.stream()
			.filter((job) -> !job.cancelling() && !job.closed())
			.filter(candidates)
			.min(Comparator.comparingDouble((JobRun job) -> this.shares.pass(job.record().account()))
				.thenComparingLong((job) -> job.record().dueMillis())
				.thenComparing((job) -> job.record().hex()));
	}

	private void updatePace() {
		long nanos = this.builder.ticker.nanos();
		double perSecond = this.pace.perSecond(nanos);
		if (perSecond <= 0 || nanos - this.paceNanos < PACE_EVERY) {
			return;
		}
		this.paceNanos = nanos;
		long now = this.builder.clock.millis();
		List<JobRun> byDue = new ArrayList<>(this.jobs.values());
		byDue.sort(Comparator.comparingLong((job) -> job.record().dueMillis()));
		long before = 0;
		for (JobRun job : byDue) {
			before += job.remaining();
			job.pace(now, now + Math.round(before * 1000 / perSecond));
		}
	}

	private void openChunks() {
		int open = this.jobs.values().stream().mapToInt(JobRun::openCount).sum();
		while (open < this.builder.policy.openChunks()) {
			Optional<JobRun> job = best(this::mayOpen);
			if (job.isEmpty()) {
				return;
			}
			open(job.get(), job.get().nextChunk().getAsInt());
			open++;
		}
	}

	private boolean mayOpen(JobRun job) {
		OptionalInt next = job.nextChunk();
		if (next.isEmpty() || job.openCount() >= this.builder.policy.openPerJob()
				|| job.readyCount() >= this.builder.policy.readyItems() || !job.served(this.builder.sender::serves)) {
			return false;
		}
		boolean reserved = next.getAsInt() < job.record().reserved();
		if (!reserved) {
			this.records.progress(job);
		}
		return reserved;
	}

	void open(JobRun job, int number) {
		job.opening(number);
		this.claims.claim(job.record(), number, this.epoch).whenCompleteAsync((claimed, failure) -> {
			if (job.closed()) {
				return;
			}
			if (failure == null) {
				opened(job, number, claimed);
				return;
			}
			if (StoreRetry.conflict(failure)) {
				drop(job);
				return;
			}
			later(RETRY, () -> {
				job.notOpened(number);
				this.records.check(job);
				wake();
			});
		}, this.serial);
	}

	private void opened(JobRun job, int number, ChunkClaimer.Claimed claimed) {
		job.opened(number);
		if (claimed.finished().isPresent()) {
			job.chunkDone(number, claimed.finished().get());
		}
		else {
			job.add(new ChunkRun(job, number, claimed));
		}
		this.records.check(job);
		wake();
	}

	// -- for the parts of this owner

	long epoch() {
		return this.epoch;
	}

	int shard() {
		return this.shard;
	}

	SerialExecutor serial() {
		return this.serial;
	}

	boolean mayStart(JobRun job) {
		return mayAct() && !job.cancelling() && !job.closed();
	}

	void later(Duration delay, Runnable task) {
		this.builder.timers.schedule(delay, () -> this.serial.execute(task));
	}

	void itemEnded() {
		this.pace.mark(this.builder.ticker.nanos());
	}

	void cancelItems(JobRun job) {
		this.runs.cancel(job);
	}

	void endOpenItems(ChunkRun chunk) {
		this.runs.endOpen(chunk);
	}

	void chunkSettled(ChunkRun chunk) {
		chunk.close();
		chunk.job().chunkDone(chunk.number(), chunk.written().counts());
		this.records.check(chunk.job());
	}

	// Another owner has written: this one was deposed and does not know it yet, or the
	// job was ended. Its records say what holds; they are read when the lease is held.
	void drop(JobRun job) {
		job.close();
		this.jobs.remove(job.id(), job);
		this.shares.keep(accounts());
		later(RETRY, this::load);
	}

	void ended(JobRun job) {
		job.close();
		this.jobs.remove(job.id(), job);
		this.shares.keep(accounts());
	}

	/**
	 * Returns the jobs that this owner works on.
	 * @return a snapshot of their progress
	 */
	public CompletableFuture<List<JobProgress>> progress() {
		CompletableFuture<List<JobProgress>> progress = new CompletableFuture<>();
		this.serial.execute(() -> progress.complete(this.jobs.values()
			.stream()
			.map((job) -> new JobProgress(job.id(), job.record().account(), job.record().items(), job.counts(),
					job.record().dueMillis(), job.expectedMillis()))
			.toList()));
		return progress;
	}

	/**
	 * Builds owners that share all but their shard.
	 */
	public static final class Builder {

		final ObjectStore store;

		final Stamps stamps;

		final ItemSender sender;

		Ticker ticker = Ticker.system();

		Timers timers;

		InstantSource clock = InstantSource.system();

		BatchPolicy policy = BatchPolicy.standard();

		ToIntFunction<String> weights = (account) -> 1;

		Function<Integer, Optional<Lease>> held;

		Optional<Runnable> wake = Optional.empty();

		Predicate<BatchItem> idempotent = (item) -> true;

		private Builder(ObjectStore store, Stamps stamps, ItemSender sender) {
			this.store = Objects.requireNonNull(store, "store is null");
			this.stamps = Objects.requireNonNull(stamps, "stamps is null");
			this.sender = Objects.requireNonNull(sender, "sender is null");
		}

		/**
		 * Sets the clocks and the timers.
		 * @param ticker the monotonic clock
		 * @param timers run what is due later
		 * @param clock the time of day
		 * @return this builder
		 */
		public Builder time(Ticker ticker, Timers timers, InstantSource clock) {
			this.ticker = Objects.requireNonNull(ticker, "ticker is null");
			this.timers = Objects.requireNonNull(timers, "timers is null");
			this.clock = Objects.requireNonNull(clock, "clock is null");
			return this;
		}

		/**
		 * Sets how the work is gone about.
		 * @param policy the policy
		 * @return this builder
		 */
		public Builder policy(BatchPolicy policy) {
			this.policy = Objects.requireNonNull(policy, "policy is null");
			return this;
		}

		/**
		 * Sets the weights of the accounts.
		 * @param weights the weight of an account, from 1
		 * @return this builder
		 */
		public Builder weights(ToIntFunction<String> weights) {
			this.weights = Objects.requireNonNull(weights, "weights is null");
			return this;
		}

		/**
		 * Sets where to ask whether a shard's lease is held.
		 * @param held the lease of a shard, as long as it may be believed in
		 * @return this builder
		 */
		public Builder held(Function<Integer, Optional<Lease>> held) {
			this.held = Objects.requireNonNull(held, "held is null");
			return this;
		}

		/**
		 * Sets which items may be run again, besides what their lines say.
		 * @param idempotent tells of an item whether its service may be called twice
		 * @return this builder
		 */
		public Builder idempotent(Predicate<BatchItem> idempotent) {
			this.idempotent = Objects.requireNonNull(idempotent, "idempotent is null");
			return this;
		}

		/**
		 * Sets who is told that items could be sent, so that it shares room out over the
		 * owners of several shards. Without it each owner sends what it can.
		 * @param wake calls {@link ShardOwner#pumpUpTo} soon
		 * @return this builder
		 */
		public Builder wake(Runnable wake) {
			this.wake = Optional.of(wake);
			return this;
		}

		/**
		 * Builds an owner.
		 * @param shard its shard
		 * @return an owner that has no lease yet
		 */
		public ShardOwner build(int shard) {
			Objects.requireNonNull(this.timers, "timers is null");
			Objects.requireNonNull(this.held, "held is null");
			return new ShardOwner(this, shard);
		}

	}

}
