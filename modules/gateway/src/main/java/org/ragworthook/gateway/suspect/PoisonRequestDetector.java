package org.ragworthook.gateway.suspect;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;

/**
 * Counts how often upstreams broke off while they ran a request.
 * <p>
 * A request can crash every upstream that runs it, and its caller sends it again, to any
 * entry; one notices by one upstream after another going down. Its path and body are the
 * same each time. Whoever was beside it when an upstream crashed has broken off as well,
 * but hardly ever three times, so three breaks refuse a request. Each process counts its
 * own and is told those of its peers. Used on the event loop.
 */
public final class PoisonRequestDetector {

	/** Breaks, over all processes, after which a request is refused. */
	private static final int REFUSED_AT = 3;

	/** How long a break counts: many times what callers wait between two tries. */
	private static final Duration MEMORY = Duration.ofSeconds(120);

	/** Suspects that are remembered; the oldest is forgotten first. */
	private static final int CAPACITY = 1_000;

	private static final EventLog LOG = EventLog.of(PoisonRequestDetector.class);

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final Ticker ticker;

	private final Map<Long, Breaks> own = new LinkedHashMap<>();

	private Map<Long, Integer> peers = Map.of();

	private PoisonRequestDetector(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Returns a count of nothing.
	 * @param ticker the time
	 * @return a new count
	 */
	public static PoisonRequestDetector empty(Ticker ticker) {
		return new PoisonRequestDetector(ticker);
	}

	/**
	 * Returns the number by which a request is recognised.
	 * @param host the host that it names
	 * @param uri its path with the query
	 * @param body its body
	 * @return a hash that is the same in every process
	 */
	public static long fingerprint(String host, String uri, byte[] body) {
		long hash = hash(FNV_OFFSET, host.getBytes(StandardCharsets.UTF_8));
		hash = hash(hash, uri.getBytes(StandardCharsets.UTF_8));
		return hash(hash, body);
	}

	private static long hash(long start, byte[] bytes) {
		long hash = start;
		for (byte next : bytes) {
			hash = (hash ^ (next & 0xff)) * FNV_PRIME;
		}
		return (hash ^ bytes.length) * FNV_PRIME;
	}

	/**
	 * Learns that an upstream broke off while it had a request.
	 * @param fingerprint the request
	 */
	public void recordConnectionLoss(long fingerprint) {
		long now = this.ticker.nanos();
		Breaks before = this.own.remove(fingerprint);
		int count = 1 + ((before != null && now - before.untilNanos() < 0) ? before.count() : 0);
		this.own.put(fingerprint, new Breaks(count, now + MEMORY.toNanos()));
		if (this.own.size() > CAPACITY) {
			this.own.remove(this.own.keySet().iterator().next());
		}
		if (count + this.peers.getOrDefault(fingerprint, 0) >= REFUSED_AT) {
			LOG.warning("request_convicted", "fingerprint", Long.toHexString(fingerprint), "own_breaks", count,
					"peers_breaks", this.peers.getOrDefault(fingerprint, 0));
		}
	}

	/**
	 * Takes what the peers have counted.
	 * @param counts breaks by fingerprint, summed over the peers
	 */
	public void updatePeerCounts(Map<Long, Integer> counts) {
		this.peers = Map.copyOf(counts);
	}

	/**
	 * Returns what this process has counted.
	 * @return breaks by fingerprint, of those that still count
	 */
	public Map<Long, Integer> ownCounts() {
		long now = this.ticker.nanos();
		this.own.values().removeIf((breaks) -> now - breaks.untilNanos() >= 0);
		Map<Long, Integer> counts = new HashMap<>();
		this.own.forEach((fingerprint, breaks) -> counts.put(fingerprint, breaks.count()));
		return counts;
	}

	/**
	 * Tells whether a request is not to be run any more.
	 * @param fingerprint the request
	 * @return whether upstreams broke off three times while they had it
	 */
	public boolean refused(long fingerprint) {
		Breaks breaks = this.own.get(fingerprint);
		int count = (breaks != null && this.ticker.nanos() - breaks.untilNanos() < 0) ? breaks.count() : 0;
		return count + this.peers.getOrDefault(fingerprint, 0) >= REFUSED_AT;
	}

	private record Breaks(int count, long untilNanos) {
	}

}
