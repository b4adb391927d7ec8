package org.ragworthook.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An upstream with what is known of its load: the requests that this process has sent and
 * not seen the end of, and those that the peers say they have sent.
 */
public final class TrackedUpstream {

	private final int key;

	private final AtomicInteger online = new AtomicInteger();

	private final AtomicInteger batch = new AtomicInteger();

	private final AtomicInteger granted = new AtomicInteger();

	private final AtomicInteger failures = new AtomicInteger();

	private final AtomicLong avoidUntilNanos = new AtomicLong(Long.MIN_VALUE);

	private final Deque<Long> batchStarts = new ArrayDeque<>();

	private volatile UpstreamDescriptor entry;

	private volatile long heardNanos = Long.MIN_VALUE / 2;

	private volatile long yieldedNanos = Long.MIN_VALUE / 2;

	private volatile PeerLoad peers = PeerLoad.NONE;

	TrackedUpstream(UpstreamDescriptor entry) {
		this.entry = entry;
		this.key = key(entry.id());
	}

	/**
	 * Returns the number by which processes name an upstream to each other.
	 * @param id the upstream's id
	 * @return a hash that is the same in every process
	 */
	public static int key(String id) {
		return id.hashCode();
	}

	/**
	 * Returns the number by which processes name it to each other.
	 * @return a hash of its id
	 */
	public int key() {
		return this.key;
	}

	/**
	 * Returns what it says of itself.
	 * @return the newest entry
	 */
	public UpstreamDescriptor descriptor() {
		return this.entry;
	}

	void descriptor(UpstreamDescriptor newest) {
		this.entry = newest;
	}

	/**
	 * Counts a request that is about to be sent.
	 * @param work who waits for it
	 */
	public void begin(WorkClass work) {
		count(work).incrementAndGet();
	}

	/**
	 * Counts a request that has ended.
	 * @param work who waited for it
	 */
	public void end(WorkClass work) {
		count(work).decrementAndGet();
	}

	private AtomicInteger count(WorkClass work) {
		return (work == WorkClass.ONLINE) ? this.online : this.batch;
	}

	/**
	 * Returns what this process has there.
	 * @param work who waits
	 * @return requests sent and not ended
	 */
	public int ownLoad(WorkClass work) {
		return count(work).get();
	}

	/**
	 * Takes what the peers have there.
	 * @param newest as far as they have told
	 */
	public void updatePeerLoad(PeerLoad newest) {
		this.peers = newest;
	}

	/**
	 * Counts slots there that this process, as dispatcher, has given to entries whose
	 * reports do not count them yet.
	 * @param change how many more, or fewer if negative
	 */
	public void addGranted(int change) {
		this.granted.addAndGet(change);
	}

	/**
	 * Returns what all processes have there, as far as known.
	 * @return requests sent and not ended
	 */
	public int load() {
		return onlineLoad() + batchLoad();
	}

	/**
	 * Returns the online requests that all processes have there, as far as known.
	 * @return requests sent, or about to be, and not ended
	 */
	public int onlineLoad() {
		return this.online.get() + this.granted.get() + this.peers.online();
	}

	/**
	 * Returns the batch items that all processes have there, as far as known.
	 * @return items sent and not ended
	 */
	public int batchLoad() {
		return this.batch.get() + this.peers.batch();
	}

	/**
	 * Returns the batch items there that yield before any of this process.
	 * @return items of peers, as far as known
	 */
	public int peerItemsYieldingFirst() {
		return this.peers.yieldingFirst();
	}

	/**
	 * Learns that this process starts a batch item there. Used on the event loop.
	 * @param nowNanos the ticker's reading
	 */
	public void recordBatchStart(long nowNanos) {
		this.batchStarts.addLast(nowNanos);
	}

	/**
	 * Returns how many batch items this process has started there lately. Used on the
	 * event loop.
	 * @param sinceNanos since when, the ticker's reading; earlier starts are forgotten
	 * @return how many
	 */
	int batchStartsSince(long sinceNanos) {
		while (!this.batchStarts.isEmpty() && this.batchStarts.peekFirst() - sinceNanos <= 0) {
			this.batchStarts.removeFirst();
		}
		return this.batchStarts.size();
	}

	/**
	 * Learns that batch items were taken away from it for online requests.
	 * @param nowNanos the ticker's reading
	 */
	public void recordPreemption(long nowNanos) {
		this.yieldedNanos = nowNanos;
	}

	/**
	 * Tells whether batch items were taken away from it lately.
	 * @param sinceNanos since when, the ticker's reading
	 * @return whether they were
	 */
	public boolean preemptedSince(long sinceNanos) {
		return this.yieldedNanos - sinceNanos > 0;
	}

	/**
	 * Learns that bytes have come from it. What has answered is not avoided any longer.
	 * @param nowNanos the ticker's reading
	 */
	public void recordActivity(long nowNanos) {
		this.heardNanos = nowNanos;
		if (this.avoidUntilNanos.get() != Long.MIN_VALUE) {
			recordSuccess();
		}
	}

	/**
	 * Tells whether nothing has come from it.
	 * @param sinceNanos since when, the ticker's reading
	 * @return whether it has been silent
	 */
	public boolean silentSince(long sinceNanos) {
		return this.heardNanos - sinceNanos <= 0;
	}

	/**
	 * Learns that a request was answered, which ends an avoidance.
	 */
	public void recordSuccess() {
		this.failures.set(0);
		this.avoidUntilNanos.set(Long.MIN_VALUE);
	}

	/**
	 * Learns that it could not be reached or broke off.
	 * @return failures since the last answer
	 */
	public int recordFailure() {
		return this.failures.incrementAndGet();
	}

	/**
	 * Keeps requests away for a while, unless nothing else is left.
	 * @param untilNanos the ticker's reading until which to do so
	 */
	public void avoidUntil(long untilNanos) {
		this.avoidUntilNanos.set(untilNanos);
	}

	/**
	 * Tells whether requests are kept away.
	 * @param nowNanos the ticker's reading
	 * @return whether another upstream is to be preferred
	 */
	public boolean avoided(long nowNanos) {
		long until = this.avoidUntilNanos.get();
		return until != Long.MIN_VALUE && until - nowNanos > 0;
	}

	@Override
	public String toString() {
		return this.entry.id();
	}

}
