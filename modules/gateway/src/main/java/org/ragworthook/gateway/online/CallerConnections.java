package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.memory.ByteBudget;
import org.ragworthook.gateway.memory.HeldBytes;
import org.ragworthook.gateway.memory.HeldKind;

/**
 * Tracks the connections of callers: which of them are idle, and what is held for them.
 * Used on the event loop.
 */
final class CallerConnections {

	private static final EventLog LOG = EventLog.of(CallerConnections.class);

	private final Ticker ticker;

	private final Timers timers;

	private final ByteBudget budget;

	private final Supplier<Duration> headerTimeout;

	private final Map<HttpConnection, ConnectionState> states = new HashMap<>();

	private boolean closed;

	/**
	 * Creates the tracker of connections.
	 * @param ticker the monotonic clock
	 * @param timers schedules checks, on the event loop
	 * @param budget limits what is held for the connections
	 * @param headerTimeout returns the time in which the headers of a request have to be
	 * complete
	 */
	CallerConnections(Ticker ticker, Timers timers, ByteBudget budget, Supplier<Duration> headerTimeout) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.budget = Objects.requireNonNull(budget, "budget is null");
		this.headerTimeout = Objects.requireNonNull(headerTimeout, "headerTimeout is null");
	}

	/**
	 * Starts to track a new connection.
	 * @param connection the connection
	 */
	void opened(HttpConnection connection) {
		ConnectionState state = new ConnectionState(((ConnectionBase) connection).channel());
		this.states.put(connection, state);
		connection.closeHandler((closed) -> {
			this.states.remove(connection);
			state.close();
		});
		if (this.closed) {
			state.headers.closeNow();
		}
	}

	/**
	 * Counts a request that has arrived.
	 * @param request the request
	 * @return the state of its connection, to be passed to {@link #requestEnded}
	 */
	ConnectionState requestStarted(HttpServerRequest request) {
		if (!this.states.containsKey(request.connection())) {
			opened(request.connection());
		}
		ConnectionState state = this.states.get(request.connection());
		state.requests++;
		state.current = request;
		state.headers.headersComplete();
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
	 * Closes all connections without a request in progress or bytes to write.
	 */
	void closeIdle() {
		Map.copyOf(this.states).forEach((connection, state) -> {
			if (state.requests == 0 && !state.headers.pending() && state.writes.held().bytes() == 0) {
				connection.close();
			}
		});
	}

	/**
	 * Closes the connections that have been idle since before a given time, also those
	 * whose caller has not read the rest of a response since then.
	 * @param beforeNanos the time, a reading of the ticker
	 */
	void closeIdleBefore(long beforeNanos) {
		Map.copyOf(this.states).forEach((connection, state) -> {
			HeldBytes unread = state.writes.held();
			if (state.requests > 0 || state.headers.pending() || state.idleSinceNanos - beforeNanos >= 0) {
				return;
			}
			if (unread.bytes() == 0) {
				connection.close();
			}
			else if (unread.progressNanos() - beforeNanos < 0) {
				LOG.info("slow_reader_ended", "reason", "idle", "for", HeldKind.CALLER.label(), "bytes",
						unread.bytes());
				state.headers.closeNow();
			}
		});
	}

	/**
	 * Closes all connections at once, whatever is held for them, and those that are
	 * opened later before anything is read from them.
	 */
	void closeAll() {
		this.closed = true;
		Map.copyOf(this.states).forEach((connection, state) -> state.headers.closeNow());
	}

	/**
	 * Returns the number of open connections.
	 * @return the count
	 */
	int count() {
		return this.states.size();
	}

	/**
	 * The requests in progress on a connection, the end of the last one, and the bytes
	 * that are held for it.
	 */
	final class ConnectionState implements AutoCloseable {

		private final CallerWrites writes;

		private final HeldBytes uploads;

		private final HeaderTimeout headers;

		private int requests;

		/** The last request, or {@code null} before the first. */
		private HttpServerRequest current;

		private long idleSinceNanos = CallerConnections.this.ticker.nanos();

		private ConnectionState(Channel channel) {
			ByteBudget shared = CallerConnections.this.budget;
			this.headers = new HeaderTimeout(CallerConnections.this.timers, CallerConnections.this.headerTimeout,
					this::betweenRequests);
			channel.pipeline().addFirst(this.headers);
			this.writes = new CallerWrites(shared.open(HeldKind.CALLER, this.headers::closeNow),
					shared.connectionShare());
			this.uploads = shared.open(HeldKind.UPLOAD, this.headers::closeNow);
		}

		/**
		 * Returns whether the next byte of the caller begins a request.
		 * @return false also while the body of a request that was responded to is due
		 */
		private boolean betweenRequests() {
			return this.requests == 0 && (this.current == null || this.current.isEnded());
		}

		/**
		 * Returns the parts of responses that are not written yet.
		 * @return the parts
		 */
		CallerWrites writes() {
			return this.writes;
		}

		/**
		 * Returns the bytes of a request that is not complete yet.
		 * @return the bytes
		 */
		HeldBytes uploads() {
			return this.uploads;
		}

		@Override
		public void close() {
			this.writes.held().close();
			this.uploads.close();
		}

	}

}
