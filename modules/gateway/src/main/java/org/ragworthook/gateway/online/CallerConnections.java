package org.ragworthook.gateway.online;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.http.HttpConnection;
import org.ragworthook.core.time.Ticker;

/**
 * The connections of callers, and which of them are idle. Used on the event loop.
 */
final class CallerConnections {

	private final Ticker ticker;

	private final Map<HttpConnection, Usage> usages = new HashMap<>();

	CallerConnections(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Learns of a new connection.
	 * @param connection the connection
	 */
	void opened(HttpConnection connection) {
		this.usages.put(connection, new Usage(this.ticker.nanos()));
		connection.closeHandler((closed) -> this.usages.remove(connection));
	}

	/**
	 * Counts a request that has come on a connection.
	 * @param connection the connection
	 * @return its usage, to be told when the answer has ended
	 */
	Usage begin(HttpConnection connection) {
		Usage usage = this.usages.computeIfAbsent(connection, (unknown) -> new Usage(this.ticker.nanos()));
		usage.requests++;
		return usage;
	}

	/**
	 * Counts a request out.
	 * @param usage the usage of its connection
	 */
	void end(Usage usage) {
		usage.requests--;
		usage.sinceNanos = this.ticker.nanos();
	}

	/**
	 * Closes the connections on which nothing is in progress.
	 */
	void closeIdle() {
		closeIdleSince(this.ticker.nanos() + 1);
	}

	/**
	 * Closes the connections that have been idle for long.
	 * @param beforeNanos since before when, the ticker's reading
	 */
	void closeIdleSince(long beforeNanos) {
		Map.copyOf(this.usages).forEach((connection, usage) -> {
			if (usage.requests == 0 && usage.sinceNanos - beforeNanos < 0) {
				connection.close();
			}
		});
	}

	/**
	 * Returns how many connections there are.
	 * @return the count
	 */
	int count() {
		return this.usages.size();
	}

	/**
	 * What a connection is used for.
	 */
	static final class Usage {

		private int requests;

		private long sinceNanos;

		private Usage(long sinceNanos) {
			this.sinceNanos = sinceNanos;
		}

	}

}
