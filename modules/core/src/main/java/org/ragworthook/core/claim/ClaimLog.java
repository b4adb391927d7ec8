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
 * The log of claims on the keys of one shard. Claims that come while a write is under way
 * are written together with the next one.
 * <p>
 * Segments are numbered without a gap and each is made by a conditional create. A new
 * owner reads to the end and appends a barrier. An owner that was paused and does not
 * know that it was deposed finds the barrier where its next segment should be; without it
 * both would grant the same key, and one would notice a booking that was made twice.
 */
public final class ClaimLog {

	private static final int MOST_IN_SEGMENT = 4_000;

	private static final int MOST_ANSWERS = 1_000;

	private static final int MOST_ANSWER_CHARACTERS = 16_384;

	private final ObjectStore store;

	private final ConditionalWriter writer;

	private final InstantSource clock;

	private final int shard;

	private final long epoch;

	private final SerialExecutor serial = new SerialExecutor();

	private final Map<ClaimKey, String> granted = new HashMap<>();

	private final TreeMap<Long, Stored> segments = new TreeMap<>();

	private final List<Waiting> waiting = new ArrayList<>();

	private final Map<ClaimKey, ClaimAnswer> answers = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ClaimKey, ClaimAnswer> eldest) {
			return size() > MOST_ANSWERS;
		}

	};

	private long next;

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
	 * @param store where the log is
	 * @param stamps marks each write
	 * @param clock the time of day
	 * @param shard the shard's number
	 * @param lease the owner's lease
	 * @return the log, once its barrier is written; fails with {@code STORE_CONFLICT} if
	 * a later owner has opened it
	 */
	public static CompletableFuture<ClaimLog> open(ObjectStore store, Stamps stamps, InstantSource clock, int shard,
			Lease lease) {
		ClaimLog log = new ClaimLog(store, stamps, clock, shard, lease);
		return log.read().thenCompose((read) -> log.barrier()).thenApply((done) -> log);
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
		this.granted.putAll(ClaimSegment.parse(stored.text()).claims());
		this.next = sequence + 1;
	}

	// The one before may still write: its segment takes the number, and the barrier goes
	// behind it.
	private CompletableFuture<Void> barrier() {
		String text = ClaimSegment.barrier(this.epoch, this.clock.millis()).text();
		long sequence = this.next;
		return append(sequence, text).handle((stored, failure) -> {
			if (failure == null) {
				add(sequence, stored);
				return CompletableFuture.<Void>completedFuture(null);
			}
			return is(failure, ErrorCode.STORE_CONFLICT) ? passOver(sequence, failure)
					: CompletableFuture.<Void>failedFuture(failure);
		}).thenCompose((settled) -> settled);
	}

	private CompletableFuture<Void> passOver(long sequence, Throwable failure) {
		return this.store.read(key(sequence)).thenCompose((found) -> {
			if (found.isEmpty() || ClaimSegment.parse(found.get().text()).epoch() > this.epoch) {
				return CompletableFuture.failedFuture(failure);
			}
			add(sequence, found.get());
			return barrier();
		});
	}

	// -- claims

	/**
	 * Claims a key.
	 * @param key the key
	 * @param fingerprint what is the same for requests that are the same
	 * @return empty if the claim is granted and recorded; the answer if the same request
	 * has finished and its answer is still kept. Fails with {@code REQUEST_KEY_TAKEN},
	 * {@code REQUEST_KEY_REUSED} or, if it could not be recorded,
	 * {@code REQUEST_NOT_RUN_NO_RECORD}
	 */
	public CompletableFuture<Optional<ClaimAnswer>> claim(ClaimKey key, String fingerprint) {
		CompletableFuture<Optional<ClaimAnswer>> result = new CompletableFuture<>();
		this.serial.execute(() -> claim(new Waiting(key, fingerprint, result)));
		return result;
	}

	private void claim(Waiting claim) {
		Optional<String> taken = Optional.ofNullable(this.granted.get(claim.key()))
			.or(() -> this.waiting.stream()
				.filter((other) -> other.key().equals(claim.key()))
				.map(Waiting::fingerprint)
				.findFirst());
		if (this.closed) {
			claim.refuse(ErrorCode.REQUEST_NOT_RUN_NO_RECORD, "another entry took over the keys of the shard");
		}
		else if (taken.isEmpty()) {
			this.waiting.add(claim);
			write();
		}
		else if (!taken.get().equals(claim.fingerprint())) {
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
		if (this.writing || this.waiting.isEmpty()) {
			return;
		}
		this.writing = true;
		List<Waiting> group = List.copyOf(this.waiting.subList(0, Math.min(MOST_IN_SEGMENT, this.waiting.size())));
		Map<ClaimKey, String> claims = new LinkedHashMap<>();
		group.forEach((claim) -> claims.put(claim.key(), claim.fingerprint()));
		String text = new ClaimSegment(this.epoch, this.clock.millis(), claims).text();
		append(this.next, text).whenCompleteAsync((stored, failure) -> written(group, stored, failure), this.serial);
	}

	private CompletableFuture<Stored> append(long sequence, String text) {
		return this.writer.create(key(sequence), text, labels());
	}

	private void written(List<Waiting> group, Stored stored, Throwable failure) {
		this.writing = false;
		this.waiting.removeAll(group);
		if (failure == null) {
			add(this.next, stored);
			group.forEach((claim) -> claim.result().complete(Optional.empty()));
		}
		else {
			refuse(group, failure);
		}
		write();
	}

	// A write that surely had no effect leaves the log as it was. After a conflict or an
	// unknown outcome this owner does not know what the log holds; it must be opened
	// anew.
	private void refuse(List<Waiting> group, Throwable failure) {
		boolean noEffect = is(failure, ErrorCode.STORE_UNAVAILABLE) || is(failure, ErrorCode.STORE_RATE_LIMITED);
		group.forEach((claim) -> claim.refuse(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
				"the idempotency key could not be recorded"));
		if (!noEffect) {
			this.closed = true;
			this.waiting.forEach((claim) -> claim.refuse(ErrorCode.REQUEST_NOT_RUN_NO_RECORD,
					"the idempotency key could not be recorded"));
			this.waiting.clear();
		}
	}

	private static boolean is(Throwable failure, ErrorCode code) {
		return ConditionalWriter.codeOf(failure).filter((known) -> known == code).isPresent();
	}

	/**
	 * Tells whether claims can no longer be granted and the log must be opened anew.
	 * @return whether another owner was met, or a write's outcome stayed unknown
	 */
	public CompletableFuture<Boolean> closed() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.serial.execute(() -> result.complete(this.closed));
		return result;
	}

	// -- after the request

	/**
	 * Keeps the answer of a claimed request for a while, if it is short.
	 * @param key the request's key
	 * @param answer its answer
	 */
	public void keepAnswer(ClaimKey key, ClaimAnswer answer) {
		this.serial.execute(() -> {
			if (answer.body().length() <= MOST_ANSWER_CHARACTERS) {
				this.answers.put(key, answer);
			}
		});
	}

	/**
	 * Removes segments that are older than keys are kept. The newest segment stays, so
	 * that the numbers go on. The age must be far above the longest pause of an owner,
	 * whose next segment a removed barrier would no longer keep out.
	 * @param age how long a key is kept
	 * @return completes when they are gone
	 */
	public CompletableFuture<Void> sweep(Duration age) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.serial.execute(() -> {
			long before = this.clock.millis() - age.toMillis();
			Map<Long, Stored> old = new TreeMap<>(this.segments.headMap(this.next - 1));
			old.values().removeIf((segment) -> ClaimSegment.parse(segment.text()).writtenMillis() >= before);
			CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
			for (Map.Entry<Long, Stored> segment : old.entrySet()) {
				last = last
					.thenCompose((gone) -> this.store.delete(segment.getValue().key(), segment.getValue().version()))
					.thenAcceptAsync((gone) -> forget(segment.getKey()), this.serial);
			}
			last.whenComplete((swept, failure) -> done.complete(null));
		});
		return done;
	}

	private void forget(long sequence) {
		Stored segment = this.segments.remove(sequence);
		ClaimSegment.parse(segment.text()).claims().keySet().forEach(this.granted::remove);
	}

	/**
	 * A claim that waits to be recorded.
	 *
	 * @param key the key
	 * @param fingerprint what is the same for requests that are the same
	 * @param result is told how it ends
	 */
	private record Waiting(ClaimKey key, String fingerprint, CompletableFuture<Optional<ClaimAnswer>> result) {

		void refuse(ErrorCode code, String detail) {
			this.result.completeExceptionally(new RequestException(code, detail));
		}

	}

}
