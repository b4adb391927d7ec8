package org.ragworthook.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.time.Ticker;

/**
 * The events of the prefix cache as the engine publishes them: late, and with gaps in
 * their numbers where events were lost.
 */
final class CacheEvents {

	private static final int KEPT = 20_000;

	private final Deque<Event> events = new ArrayDeque<>();

	private final Ticker ticker;

	private final long lagNanos;

	private final double loss;

	private final Random random = new Random(7);

	private long sequence;

	CacheEvents(Ticker ticker, Duration lag, double loss) {
		this.ticker = ticker;
		this.lagNanos = lag.toNanos();
		this.loss = loss;
	}

	void add(long block, boolean stored) {
		this.sequence++;
		if (this.random.nextDouble() < this.loss) {
			return;
		}
		this.events.addLast(new Event(this.sequence, block, stored, this.ticker.nanos() + this.lagNanos));
		if (this.events.size() > KEPT) {
			this.events.removeFirst();
		}
	}

	/**
	 * Returns the events that are out.
	 * @param after the number of the last event that the reader has
	 * @return the later ones
	 */
	JsonObject after(long after) {
		JsonArray published = new JsonArray();
		long now = this.ticker.nanos();
		this.events.stream()
			.filter((event) -> event.sequence() > after && event.visibleNanos() <= now)
			.forEach((event) -> published.add(event.document()));
		return new JsonObject().put("block_characters", PrefixCache.BLOCK).put("events", published);
	}

	private record Event(long sequence, long block, boolean stored, long visibleNanos) {

		JsonObject document() {
			return new JsonObject().put("sequence", this.sequence)
				.put("type", this.stored ? "BlockStored" : "BlockRemoved")
				.put("block_hash", Long.toUnsignedString(this.block));
		}

	}

}
