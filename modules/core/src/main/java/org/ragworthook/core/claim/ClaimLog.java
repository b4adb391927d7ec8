package org.ragworthook.core.claim;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;
import org.ragworthook.core.job.SerialExecutor;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;

/**
 * The log of claims on the keys of one shard. Claims that arrive during a write are
 * batched into the next write.
 * <p>
 * Segments are numbered consecutively, and each is written with a conditional create. A
 * new owner reads the log to its end and appends a barrier. A paused owner that does not
 * know that it has been deposed then finds the barrier at the number of its next segment.
 * Without the barrier both owners could grant the same key, and a request such as a
 * booking could run twice.
 */
public final class ClaimLog {

	private static final int MAX_CLAIMS_PER_SEGMENT = 4_000;

	private static final int MAX_CACHED_ANSWERS = 1_000;

	private static final int MAX_ANSWER_CHARACTERS = 16_384;

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private final int shard;

	private final long epoch;

	private final SerialExecutor serial = new SerialExecutor();

	private final Map<ClaimKey, String> grantedFingerprints = new HashMap<>();

	private final TreeMap<Long, Stored> segments = new TreeMap<>();

	private final List<PendingClaim> pending = new ArrayList<>();

	private final Map<ClaimKey, ClaimAnswer> answers = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ClaimKey, ClaimAnswer> eldest) {
			return size() > MAX_CACHED_ANSWERS;
		}

	};

	private long nextSequence;

	private boolean writing;

	private boolean closed;

	private ClaimLog(ObjectStore store, Stamps stamps, InstantSource clock, int shard, Lease lease) {
		this.store = Objects.requireNonNull(store, "store is null");
		this.writer = ConditionalWriter.of(store, stamps);
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.shard = shard;
		this.epoch = lease.epoch();
	}

	/**
	 * Opens the log of a shard for its owner.
	 * @param store the store that holds the log
	 * @param stamps the marks that identify this process's writes
	 * @param clock the wall clock
	 * @param shard the number of the shard
	 * @param lease the lease of the owner
	 * @return completes when the barrier has been written; fails with {@code
	 * STORE_CONFLICT} if a later owner has opened the log
	 */
	public static CompletableFuture<ClaimLog> open(ObjectStore store, Stamps stamps, InstantSource clock, int shard,
			Lease lease) {
		ClaimLog log = new ClaimLog(store, stamps, clock, shard, lease);
		return log.read().thenCompose((read) -> log.writeBarrier()).thenApply((done) -> log);
	}

	private Labels labels() {
		return Labels.of("shard", Integer.toString(this.shard));
	}

	private ObjectKey key(long sequence) {
		return ObjectKey.of(Kind.CLAIM, this.shard + "-" + sequence);
	}

	private CompletableFuture<Void> read() {
		return this.store.list(Kind.CLAIM, labels())
			.thenAccept((listing) -> listing.objects()
				.stream()
				.sorted(Comparator.comparingLong(ClaimLog::sequence))
				.forEach((segment) -> add(sequence(segment), segment)));
	}

	private static long sequence(Stored segment) {
		String name = segment.key().name();
		return Long.parseLong(name.substring(name.indexOf('-') + 1));
	}

	private void add(long sequence, Stored stored) {
		this.segments.put(sequence, stored);
		this.grantedFingerprints.putAll(ClaimSegment.parse(stored.text()).claims());
		this.nextSequence = sequence + 1;
	}

	// The previous owner may still write: its segment then takes the number, and the
	// barrier is appended after it.
	private CompletableFuture<Void> writeBarrier() {
		String text = ClaimSegment.barrier(this.epoch, this.clock.millis()).text();
		long sequence = this.nextSequence;
		return append(sequence, text).handle((stored, failure) -> {
			if (failure == null) {
				add(sequence, stored);
				return CompletableFuture.<Void>completedFuture(null);
			}
			return hasCode(failure, ErrorCode.STORE_CONFLICT) ? acceptEarlierSegment(sequence, failure)
					: CompletableFuture.<Void>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	private CompletableFuture<Void> acceptEarlierSegment(long sequence, Throwable failure) {
		return this.store.read(key(sequence)).thenCompose((found) -> {
			if (found.isEmpty() || ClaimSegment.parse(found.get().text()).epoch() > this.epoch) {
				return CompletableFuture.failedFuture(failure);
			}
			add(sequence, found.get());
			return writeBarrier();
		});
	}

	// -- claims

	/**
	 * Claims a key.
	 * @param key the key
	 * @param fingerprint the fingerprint of the request, equal for identical requests
	 * @return empty if the claim has been granted and recorded; the cached answer if the
	 * same request has finished. Fails with {@code REQUEST_KEY_TAKEN} if the request was
	 * claimed before and no answer is cached, {@code REQUEST_KEY_REUSED} if another
	 * request has used the key, or {@code REQUEST_NOT_RUN_NO_RECORD} if the claim could
	 * not be recorded
	 */
	public CompletableFuture<Optional<ClaimAnswer>> claim(ClaimKey key, String fingerprint) {
		CompletableFuture<Optional<ClaimAnswer>> result = new CompletableFuture<>();
		this.serial.execute(() -> claim(new PendingClaim(key, fingerprint, result)));
		return result;
	}

	private void claim(PendingClaim claim) {
		Optional<String> claimedFingerprint = Optional.ofNullable(this.grantedFingerprints.get(claim.key()))
			.or(() -> this.pending.stream()
				.filter((other) -> other.key().equals(claim.key()))
				.map(PendingClaim::fingerprint)
				.findFirst());
		if (this.closed) {
			claim.refuse(ErrorCode.REQUEST_NOT_RUN_NO_RECORD, "another entry took over the keys of the shard");
		}
		else if (claimedFingerprint.isEmpty()) {
			this.pending.add(claim);
			write();
		}
		else if (!claimedFingerprint.get().equals(claim.fingerprint())) {
			claim.refuse(ErrorCode.REQUEST_KEY_REUSED, "the key was used for another request");
		}
		else if (this.answers.containsKey(claim.key())) {
			claim.result().complete(Optional.of(this.answers.get(claim.key())));
		}
		else {
			claim.refuse(ErrorCode.REQUEST_KEY_TAKEN, "the request was passed on before");
		}
	}

	private void write() {
		if (this.writing || this.pending.isEmpty()) {
			return;
		}
		this.writing = true;
		List<PendingClaim> batch = List
			.copyOf(this.pending.subList(0, Math.min(MAX_CLAIMS_PER_SEGMENT, this.pending.size())));
		Map<ClaimKey, String> claims = new LinkedHashMap<>();
		batch.forEach((claim) -> claims.put(claim.key(), claim.fingerprint()));
		String text = new ClaimSegment(this.epoch, this.clock.millis(), claims).text();
		append(this.nextSequence, text).whenCompleteAsync((stored, failure) -> written(batch, stored, failure),
				this.serial);
	}

	private CompletableFuture<Stored> append(long sequence, String text) {
		return this.writer.create(key(sequence), text, labels());
	}

	private void written(List<PendingClaim> batch, Stored stored, Throwable failure) {
		this.writing = false;
		this.pending.removeAll(batch);
		if (failure == null) {
			add(this.nextSequence, stored);
			batch.forEach((claim) -> claim.result().complete(Optional.empty()));
		}
		else {
			refuse(batch, failure);
		}
		write();
	}

	// After a write that certainly had no effect the log is unchanged. After a conflict
	// or an unknown outcome this owner does not know the contents of the log, which
	// must be opened again.
	private void refuse(List<PendingClaim> batch, Throwable failure) {
		boolean noEffect = hasCode(failure, ErrorCode.STORE_UNAVAILABLE)
				|| hasCode(failure, ErrorCode.STORE_RATE_LIMITED);
		batch.forEach((claim) -> claim.refuse(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
				"the idempotency key could not be recorded"));
		if (!noEffect) {
			this.closed = true;
			this.pending.forEach((claim) -> claim.refuse(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
					"the idempotency key could not be recorded"));
			this.pending.clear();
		}
	}

	private static boolean hasCode(Throwable failure, ErrorCode code) {
		return ConditionalWriter.codeOf(failure).filter((actual) -> actual == code).isPresent();
	}

	/**
	 * Returns whether the log can grant no more claims and must be opened again.
	 * @return whether a write conflicted with another owner or its outcome is unknown
	 */
	public CompletableFuture<Boolean> closed() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.serial.execute(() -> result.complete(this.closed));
		return result;
	}

	// -- after the request

	/**
	 * Caches the answer of a claimed request if it has at most 16384 characters. Of more
	 * than 1000 answers, the least recently used one is evicted.
	 * @param key the key of the request
	 * @param answer the answer
	 */
	public void keepAnswer(ClaimKey key, ClaimAnswer answer) {
		this.serial.execute(() -> {
			if (answer.body().length() <= MAX_ANSWER_CHARACTERS) {
				this.answers.put(key, answer);
			}
		});
	}

	/**
	 * Deletes segments older than the retention period of keys. The newest segment is
	 * kept, so that numbering continues. The period must be much longer than any pause of
	 * an owner, since a deleted barrier no longer stops the next segment of a deposed
	 * owner.
	 * @param retention how long a key is kept
	 * @return completes when the segments are deleted or a deletion has failed
	 */
	public CompletableFuture<Void> sweep(Duration retention) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.serial.execute(() -> {
			long before = this.clock.millis() - retention.toMillis();
			Map<Long, Stored> expired = new TreeMap<>(this.segments.headMap(this.nextSequence - 1));
			expired.values().removeIf((segment) -> ClaimSegment.parse(segment.text()).writtenMillis() >= before);
			CompletableFuture<Void> deletions = CompletableFuture.completedFuture(null);
			for (Map.Entry<Long, Stored> segment : expired.entrySet()) {
				deletions = deletions
					.thenCompose((deleted) -> this.store.delete(segment.getValue().key(), segment.getValue().version()))
					.thenAcceptAsync((deleted) -> removeSegment(segment.getKey()), this.serial);
			}
			deletions.whenComplete((deleted, failure) -> done.complete(null));
		});
		return done;
	}

	private void removeSegment(long sequence) {
		Stored segment = this.segments.remove(sequence);
		ClaimSegment.parse(segment.text()).claims().keySet().forEach(this.grantedFingerprints::remove);
	}

	/**
	 * A claim that is not recorded yet.
	 *
	 * @param key the key
	 * @param fingerprint the fingerprint of the request
	 * @param result completed with the result of the claim
	 */
	private record PendingClaim(ClaimKey key, String fingerprint, CompletableFuture<Optional<ClaimAnswer>> result) {

		void refuse(ErrorCode code, String detail) {
			this.result.completeExceptionally(new RequestException(code, detail));
		}

	}

}
