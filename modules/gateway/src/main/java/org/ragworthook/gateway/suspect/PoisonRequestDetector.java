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
 * Detects poison requests, which crash every upstream that runs them, by counting how
 * often the connection to an upstream was lost while it ran a request.
 * <p>
 * The caller of a poison request retries it at any entry, so one upstream after another
 * crashes. Its path and body are the same each time, so it is recognised by a
 * fingerprint. Requests that run on the same upstream when it crashes lose their
 * connection as well, but hardly ever three times, so a request is refused after three
 * losses. Each process counts its own losses and receives the counts of its peers. Not
 * thread-safe: used on the event loop.
 */
public final class PoisonRequestDetector {

	/** Connection losses, over all processes, after which a request is refused. */
	private static final int REFUSAL_THRESHOLD = 3;

	/**
	 * How long a connection loss counts: many times the usual pause between a caller's
	 * retries.
	 */
	private static final Duration RETENTION = Duration.ofSeconds(120);

	/**
	 * Maximum number of fingerprints; the least recently counted one is evicted first.
	 */
	private static final int MAX_FINGERPRINTS = 1_000;

	private static final EventLog LOG = EventLog.of(PoisonRequestDetector.class);

	private final Ticker ticker;

	private final Map<Long, ConnectionLosses> ownLosses = new LinkedHashMap<>();

	private Map<Long, Integer> peerCounts = Map.of();

	private PoisonRequestDetector(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Returns a detector without counts.
	 * @param ticker the monotonic clock
	 * @return a new detector
	 */
	public static PoisonRequestDetector empty(Ticker ticker) {
		return new PoisonRequestDetector(ticker);
	}

	/**
	 * Returns the fingerprint by which a request is recognised.
	 * @param host the host of the request
	 * @param uri its path with the query
	 * @param body its body
	 * @return a hash that is the same in every process
	 */
	public static long fingerprint(String host, String uri, byte[] body) {
		return Fnv.hash(Fnv.hash(Fnv.hash(host), uri.getBytes(StandardCharsets.UTF_8)), body);
	}

	/**
	 * Called when the connection to an upstream was lost while it ran a request.
	 * @param fingerprint the request's fingerprint
	 */
	public void recordConnectionLoss(long fingerprint) {
		long now = this.ticker.nanos();
		ConnectionLosses previous = this.ownLosses.remove(fingerprint);
		int count = 1 + ((previous != null && now - previous.expiryNanos() < 0) ? previous.count() : 0);
		this.ownLosses.put(fingerprint, new ConnectionLosses(count, now + RETENTION.toNanos()));
		if (this.ownLosses.size() > MAX_FINGERPRINTS) {
			this.ownLosses.remove(this.ownLosses.keySet().iterator().next());
		}
		if (count + this.peerCounts.getOrDefault(fingerprint, 0) >= REFUSAL_THRESHOLD) {
			LOG.warning("poison_request_detected", "fingerprint", Long.toHexString(fingerprint),
					"own_connection_losses", count, "peer_connection_losses",
					this.peerCounts.getOrDefault(fingerprint, 0));
		}
	}

	/**
	 * Replaces the counts of the peers.
	 * @param counts connection losses by fingerprint, summed over the peers
	 */
	public void updatePeerCounts(Map<Long, Integer> counts) {
		this.peerCounts = Map.copyOf(counts);
	}

	/**
	 * Returns the counts of this process, to be reported to the peers.
	 * @return connection losses by fingerprint, without expired ones
	 */
	public Map<Long, Integer> ownCounts() {
		long now = this.ticker.nanos();
		this.ownLosses.values().removeIf((losses) -> now - losses.expiryNanos() >= 0);
		Map<Long, Integer> counts = new HashMap<>();
		this.ownLosses.forEach((fingerprint, losses) -> counts.put(fingerprint, losses.count()));
		return counts;
	}

	/**
	 * Returns whether a request must not be run any more.
	 * @param fingerprint the request's fingerprint
	 * @return whether connections were lost at least three times while it ran
	 */
	public boolean refused(long fingerprint) {
		ConnectionLosses losses = this.ownLosses.get(fingerprint);
		int count = (losses != null && this.ticker.nanos() - losses.expiryNanos() < 0) ? losses.count() : 0;
		return count + this.peerCounts.getOrDefault(fingerprint, 0) >= REFUSAL_THRESHOLD;
	}

	private record ConnectionLosses(int count, long expiryNanos) {
	}

}
