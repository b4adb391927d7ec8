package org.ragworthook.gateway.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.ragworthook.core.log.EventLog;

/**
 * An upstream and its known load: the requests in progress that this process has sent and
 * those that its peers report.
 */
public final class TrackedUpstream {

	private static final EventLog LOG = EventLog.of(TrackedUpstream.class);

	private final int key;

	private final AtomicInteger ownOnline = new AtomicInteger();

	private final AtomicInteger ownBatch = new AtomicInteger();

	private final AtomicInteger granted = new AtomicInteger();

	private final AtomicInteger consecutiveFailures = new AtomicInteger();

	private final AtomicLong avoidUntilNanos = new AtomicLong(Long.MIN_VALUE);

	private final Deque<Long> batchStartNanos = new ArrayDeque<>();

	/** Tasks of the requests in progress, in the order in which they began. */
	private final Set<Runnable> restartTasks = new LinkedHashSet<>();

	private volatile UpstreamDescriptor descriptor;

	private volatile long lastActivityNanos = Long.MIN_VALUE / 2;

	private volatile long lastPreemptionNanos = Long.MIN_VALUE / 2;

	private volatile PeerLoad peerLoad = PeerLoad.NONE;

	private volatile Optional<SpeedProfile> speedProfile = Optional.empty();

	TrackedUpstream(UpstreamDescriptor descriptor) {
		this.descriptor = descriptor;
		this.key = key(descriptor);
	}

	/**
	 * Returns the number that identifies an upstream in messages between processes.
	 * @param id the upstream's id
	 * @return a hash that is the same in every process
	 */
	public static int key(String id) {
		return id.hashCode();
	}

	/**
	 * Returns the number that identifies an upstream in messages between processes. It
	 * differs between two starts under the same id, so that the requests which a process
	 * still counts at the earlier one are not taken for load of the later one.
	 * @param descriptor the upstream's descriptor
	 * @return a hash of its id and its start, the same in every process
	 */
	static int key(UpstreamDescriptor descriptor) {
		return descriptor.startedMillis().isPresent()
				? key(descriptor.id() + "@" + descriptor.startedMillis().getAsLong()) : key(descriptor.id());
	}

	/**
	 * Returns the number that identifies this upstream in messages between processes.
	 * @return a hash of its id and its start
	 */
	public int key() {
		return this.key;
	}

	/**
	 * Returns the upstream's description of itself.
	 * @return the latest descriptor
	 */
	public UpstreamDescriptor descriptor() {
		return this.descriptor;
	}

	void descriptor(UpstreamDescriptor newest) {
		this.descriptor = newest;
	}

	/**
	 * Returns what the upstream's observed speed means for its load.
	 * @return the profile, or empty while requests are placed by count
	 */
	Optional<SpeedProfile> speedProfile() {
		return this.speedProfile;
	}

	void speedProfile(Optional<SpeedProfile> newest) {
		this.speedProfile = newest;
	}

	/**
	 * Returns how many requests the upstream should run at once.
	 * @return the stated number, or fewer if its throughput does not grow up to there
	 */
	public int slots() {
		int stated = this.descriptor.slots();
		return this.speedProfile.map((profile) -> Math.min(stated, profile.slots())).orElse(stated);
	}

	/**
	 * Returns whether the upstream is fast enough for online requests.
	 * @return false if its first events are expected after the latency target
	 */
	public boolean inUse() {
		return this.speedProfile.map((profile) -> profile.probeNanos().isEmpty()).orElse(true);
	}

	/**
	 * Returns whether an upstream that is out of use is to be sent a request, to observe
	 * whether it has recovered.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return whether a probe is due
	 */
	boolean probeDue(long nowNanos) {
		return this.speedProfile.map((profile) -> profile.probeNanos().stream().anyMatch((due) -> due - nowNanos <= 0))
			.orElse(false);
	}

	/**
	 * Counts a request that is about to be sent.
	 * @param work the class of the request
	 */
	public void begin(WorkClass work) {
		counter(work).incrementAndGet();
	}

	/**
	 * Counts a request that has ended.
	 * @param work the class of the request
	 */
	public void end(WorkClass work) {
		counter(work).decrementAndGet();
	}

	private AtomicInteger counter(WorkClass work) {
		return (work == WorkClass.ONLINE) ? this.ownOnline : this.ownBatch;
	}

	/**
	 * Returns the load of this process.
	 * @param work the class of the requests to count
	 * @return requests sent and not ended
	 */
	public int ownLoad(WorkClass work) {
		return counter(work).get();
	}

	/**
	 * Replaces the load of the peers.
	 * @param newest the sum of their latest reports
	 */
	public void updatePeerLoad(PeerLoad newest) {
		this.peerLoad = newest;
	}

	/**
	 * Counts slots that this process, as dispatcher, has granted to entries whose reports
	 * do not include them yet.
	 * @param change the number of additional slots; negative to remove slots
	 */
	public void addGranted(int change) {
		this.granted.addAndGet(change);
	}

	/**
	 * Returns the known load of all processes.
	 * @return requests sent and not ended
	 */
	public int load() {
		return onlineLoad() + batchLoad();
	}

	/**
	 * Returns the known online load of all processes.
	 * @return online requests that were sent or granted a slot, and have not ended
	 */
	public int onlineLoad() {
		return this.ownOnline.get() + this.granted.get() + this.peerLoad.online();
	}

	/**
	 * Returns the known batch load of all processes.
	 * @return batch items sent and not ended
	 */
	public int batchLoad() {
		return this.ownBatch.get() + this.peerLoad.batch();
	}

	/**
	 * Returns how many batch items of peers are preempted before any item of this
	 * process.
	 * @return the number of items, as far as known
	 */
	public int peerItemsYieldingFirst() {
		return this.peerLoad.yieldingFirst();
	}

	/**
	 * Called when this process starts a batch item at the upstream. Used on the event
	 * loop.
	 * @param nowNanos the ticker's reading in nanoseconds
	 */
	public void recordBatchStart(long nowNanos) {
		this.batchStartNanos.addLast(nowNanos);
	}

	/**
	 * Returns how many batch items this process has started since a given time, and
	 * forgets earlier starts. Used on the event loop.
	 * @param sinceNanos the given time, as a reading of the ticker in nanoseconds
	 * @return the number of items
	 */
	int batchStartsSince(long sinceNanos) {
		while (!this.batchStartNanos.isEmpty() && this.batchStartNanos.peekFirst() - sinceNanos <= 0) {
			this.batchStartNanos.removeFirst();
		}
		return this.batchStartNanos.size();
	}

	/**
	 * Called when batch items at the upstream were preempted for online requests.
	 * @param nowNanos the ticker's reading in nanoseconds
	 */
	public void recordPreemption(long nowNanos) {
		this.lastPreemptionNanos = nowNanos;
	}

	/**
	 * Returns whether batch items were preempted since a given time.
	 * @param sinceNanos the given time, as a reading of the ticker in nanoseconds
	 * @return whether a preemption was recorded after that time
	 */
	public boolean preemptedSince(long sinceNanos) {
		return this.lastPreemptionNanos - sinceNanos > 0;
	}

	/**
	 * Called when the upstream sent any bytes, which ends an avoidance.
	 * @param nowNanos the ticker's reading in nanoseconds
	 */
	public void recordActivity(long nowNanos) {
		this.lastActivityNanos = nowNanos;
		if (this.avoidUntilNanos.get() != Long.MIN_VALUE) {
			recordSuccess();
		}
	}

	/**
	 * Returns whether the upstream has sent nothing since a given time.
	 * @param sinceNanos the given time, as a reading of the ticker in nanoseconds
	 * @return whether no activity was recorded after that time
	 */
	public boolean silentSince(long sinceNanos) {
		return this.lastActivityNanos - sinceNanos <= 0;
	}

	/** Called when the upstream answered a request, which ends an avoidance. */
	public void recordSuccess() {
		this.consecutiveFailures.set(0);
		this.avoidUntilNanos.set(Long.MIN_VALUE);
	}

	/**
	 * Called when the upstream could not be reached or the connection to it was lost.
	 * @return the number of failures since the last success
	 */
	public int recordFailure() {
		return this.consecutiveFailures.incrementAndGet();
	}

	/**
	 * Avoids the upstream until a given time, unless no other one is available.
	 * @param untilNanos the given time, as a reading of the ticker in nanoseconds
	 */
	public void avoidUntil(long untilNanos) {
		this.avoidUntilNanos.set(untilNanos);
	}

	/**
	 * Returns whether the upstream is avoided.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return whether another upstream is preferred
	 */
	public boolean avoided(long nowNanos) {
		long avoidUntil = this.avoidUntilNanos.get();
		return avoidUntil != Long.MIN_VALUE && avoidUntil - nowNanos > 0;
	}

	/**
	 * Adds a task for the requests of this process at the upstream, which runs if the
	 * upstream turns out to have started again. Used on the event loop.
	 * @param task ends a request, of which the new start knows nothing
	 */
	public void onRestart(Runnable task) {
		this.restartTasks.add(task);
	}

	/**
	 * Removes a task, since its request has ended.
	 * @param task the task
	 */
	public void removeRestartTask(Runnable task) {
		this.restartTasks.remove(task);
	}

	/** Called when the upstream has started again and is tracked as a new one. */
	void restarted() {
		List<Runnable> tasks = List.copyOf(this.restartTasks);
		this.restartTasks.clear();
		for (Runnable task : tasks) {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LOG.warning("restart_task_failed", "upstream", this, "error", ex);
			}
		}
	}

	@Override
	public String toString() {
		return this.descriptor.id();
	}

}
