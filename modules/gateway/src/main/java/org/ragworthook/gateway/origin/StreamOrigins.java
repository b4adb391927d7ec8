package org.ragworthook.gateway.origin;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.upstream.SoftwareVersion;

/**
 * The origins of the latest streams, by the id of the request that brought the first
 * event. Used on the event loop.
 */
final class StreamOrigins {

	/** Longer than callers wait for a stream, the time without connection included. */
	static final Duration RETENTION = Duration.ofSeconds(60);

	/** Limits the memory; the oldest streams are forgotten first. */
	static final int MAX_STREAMS = 20_000;

	private final Ticker ticker;

	/** The streams, oldest first. */
	private final Map<String, Entry> streams = new LinkedHashMap<>();

	StreamOrigins(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Records the origin of a stream. If two origins are recorded for one request, none
	 * of them is certain, and the stream counts as one of an unknown version.
	 * @param requestId the id of the request that brought the first event
	 * @param origin the origin
	 */
	void record(String requestId, StreamOrigin origin) {
		Entry known = this.streams.get(requestId);
		if (known == null) {
			this.streams.put(requestId, new Entry(origin, this.ticker.nanos()));
			evict();
		}
		else if (!known.origin.equals(origin)) {
			StreamOrigin uncertain = new StreamOrigin(origin.service(), SoftwareVersion.unknown());
			this.streams.put(requestId, new Entry(uncertain, known.sinceNanos));
		}
	}

	/**
	 * Returns the origin of a stream.
	 * @param requestId the id of the request that brought the first event
	 * @return the origin, or empty if it is not recorded
	 */
	Optional<StreamOrigin> find(String requestId) {
		return Optional.ofNullable(this.streams.get(requestId)).map(Entry::origin);
	}

	private void evict() {
		long old = this.ticker.nanos() - RETENTION.toNanos();
		Iterator<Entry> oldest = this.streams.values().iterator();
		while (oldest.hasNext() && (oldest.next().sinceNanos - old < 0 || this.streams.size() > MAX_STREAMS)) {
			oldest.remove();
		}
	}

	private record Entry(StreamOrigin origin, long sinceNanos) {
	}

}
