package org.ragworthook.gateway.online;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.vertx.core.http.HttpConnection;
import org.ragworthook.core.time.Ticker;

/**
 * Tracks the connections of callers and which of them are idle. Used on the event loop.
 */
final class CallerConnections {

	private final Ticker ticker;

	private final Map<HttpConnection, ConnectionState> states = new HashMap<>();

	CallerConnections(Ticker ticker) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	/**
	 * Starts to track a new connection.
	 * @param connection the connection
	 */
	void opened(HttpConnection connection) {
		this.states.put(connection, new ConnectionState(this.ticker.nanos()));
		connection.closeHandler((closed) -> this.states.remove(connection));
	}

	/**
	 * Counts a request that has arrived on a connection.
	 * @param connection the connection
	 * @return the connection's state, to be passed to {@link #requestEnded}
	 */
	ConnectionState requestStarted(HttpConnection connection) {
		ConnectionState state = this.states.computeIfAbsent(connection,
				(unknown) -> new ConnectionState(this.ticker.nanos()));
		state.requests++;
		return state;
	}

	/**
	 * Counts a request whose response has ended.
	 * @param state the state of its connection
	 */
	void requestEnded(ConnectionState state) {
		state.requests--;
		state.idleSinceNanos = this.ticker.nanos();
	}

	/**
	 * Closes all connections without a request in progress.
	 */
	void closeIdle() {
		closeIdleBefore(this.ticker.nanos() + 1);
	}

	/**
	 * Closes the connections that have been idle since before a given time.
	 * @param beforeNanos the time, a reading of the ticker
	 */
	void closeIdleBefore(long beforeNanos) {
		Map.copyOf(this.states).forEach((connection, state) -> {
			if (state.requests == 0 && state.idleSinceNanos - beforeNanos < 0) {
				connection.close();
			}
		});
	}

	/**
	 * Returns the number of open connections.
	 * @return the count
	 */
	int count() {
		return this.states.size();
	}

	/**
	 * The requests in progress on a connection and the end of the last one.
	 */
	static final class ConnectionState {

		private int requests;

		private long idleSinceNanos;

		private ConnectionState(long idleSinceNanos) {
			this.idleSinceNanos = idleSinceNanos;
		}

	}

}
