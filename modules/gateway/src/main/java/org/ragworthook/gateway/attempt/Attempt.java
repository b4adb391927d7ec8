package org.ragworthook.gateway.attempt;

import java.util.Locale;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.event.SseFrameDecoder;
import org.ragworthook.gateway.http.ClientConnection;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.http.ResponseListener;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * One try of a request at one upstream. Counts the upstream's load from the choice to the
 * end, and keeps the events in order when a stream is resumed.
 */
public final class Attempt implements ResponseListener {

	/** Another upstream has the address, and did not run the request. */
	private static final int MISDIRECTED = 421;

	private static final int OK = 200;

	private static final String EVENT_STREAM = "text/event-stream";

	private final TrackedUpstream upstream;

	private final WorkClass work;

	private final ConnectionPool pool;

	private final Address address;

	private final HeaderNames names;

	private final AttemptListener listener;

	private final SseFrameDecoder splitter = SseFrameDecoder.start();

	private ClientConnection connection;

	private State state = State.CONNECTING;

	private boolean events;

	private boolean sent;

	private long lastEvent;

	/** Whether an event was missing; nothing after it may be passed on. */
	private boolean gap;

	/** The status of an answer that says that the request was not run. */
	private int refusal;

	private Attempt(TrackedUpstream upstream, WorkClass work, ConnectionPool pool, HeaderNames names, long lastEvent,
			AttemptListener listener) {
		this.upstream = upstream;
		this.work = work;
		this.pool = pool;
		this.address = upstream.descriptor().address();
		this.names = names;
		this.lastEvent = lastEvent;
		this.listener = listener;
	}

	/**
	 * Starts an attempt.
	 * @param upstream where to send the request
	 * @param work who waits for it
	 * @param pool gives the connection
	 * @param names the names of headers
	 * @param request makes the request, once a connection is there
	 * @param requestId the id that the answer must repeat
	 * @param lastEvent the last event that is known already, or 0
	 * @param listener takes the answer
	 * @return the attempt
	 */
	public static Attempt start(TrackedUpstream upstream, WorkClass work, ConnectionPool pool, HeaderNames names,
			RequestFactory request, String requestId, long lastEvent, AttemptListener listener) {
		Attempt attempt = new Attempt(upstream, work, pool, names, lastEvent, listener);
		upstream.begin(work);
		pool.acquire(attempt.address, (connection) -> attempt.connected(connection, request, requestId));
		return attempt;
	}

	private void connected(Optional<ClientConnection> opened, RequestFactory request, String requestId) {
		if (this.state != State.CONNECTING) {
			opened.ifPresent((connection) -> this.pool.release(this.address, connection));
			return;
		}
		if (opened.isEmpty()) {
			finish();
			this.listener.failed(SendFailure.NOT_SENT);
			return;
		}
		this.connection = opened.get();
		this.state = State.WAITING;
		this.sent = true;
		FullHttpRequest message = request.make();
		message.headers()
			.set(this.names.expectedUpstream(), this.upstream.descriptor().id())
			.set(this.names.requestId(), requestId);
		this.connection.send(message, Optional.of(requestId), this);
	}

	/**
	 * Makes a request with the headers of one that was received.
	 * @param method the HTTP method
	 * @param uri path and query
	 * @param headers the headers to pass on
	 * @param body the body
	 * @return the request, with its length stated
	 */
	public static FullHttpRequest newRequest(String method, String uri, HttpHeaders headers, byte[] body) {
		DefaultHttpHeaders copy = new DefaultHttpHeaders(false);
		copy.set(headers);
		if (body.length > 0 || !"GET".equals(method)) {
			copy.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri,
				Unpooled.wrappedBuffer(body), copy, new DefaultHttpHeaders(false));
	}

	/**
	 * Returns where the request is.
	 * @return the upstream
	 */
	public TrackedUpstream upstream() {
		return this.upstream;
	}

	/**
	 * Tells whether the request was handed to the connection.
	 * @return whether the upstream may have it
	 */
	public boolean sent() {
		return this.sent;
	}

	/**
	 * Returns the last event that was passed on.
	 * @return its id, or 0
	 */
	public long lastEventId() {
		return this.lastEvent;
	}

	/**
	 * Stops or goes on reading the answer.
	 * @param on whether to read
	 */
	public void read(boolean on) {
		if (this.connection != null && this.state == State.ANSWERING) {
			this.connection.read(on);
		}
	}

	/**
	 * Gives the attempt up. The connection is closed, which stops the upstream's work.
	 */
	public void cancel() {
		if (this.state == State.ENDED) {
			return;
		}
		ClientConnection open = this.connection;
		finish();
		if (open != null) {
			open.abandon();
		}
	}

	@Override
	public void head(HttpResponse head) {
		boolean notRun = head.status().code() == MISDIRECTED || head.headers().contains(this.names.notExecuted());
		if (notRun) {
			this.state = State.REFUSED;
			this.refusal = head.status().code();
			return;
		}
		if (!head.headers().contains(this.names.signature())) {
			cancel();
			this.listener.failed(SendFailure.MALFORMED);
			return;
		}
		this.upstream.recordSuccess();
		this.state = State.ANSWERING;
		String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE);
		this.events = head.status().code() == OK && type != null && type.startsWith(EVENT_STREAM);
		this.listener.head(head);
	}

	@Override
	public void content(ByteBuf data) {
		if (this.state != State.ANSWERING) {
			return;
		}
		if (this.events) {
			this.splitter.feed(data, this::event);
			return;
		}
		byte[] bytes = new byte[data.readableBytes()];
		data.readBytes(bytes);
		this.listener.data(bytes);
	}

	private void event(byte[] event) {
		if (this.state != State.ANSWERING || this.gap) {
			return;
		}
		Optional<Long> id = SseFrameDecoder.id(event);
		if (id.isPresent()) {
			if (id.get() <= this.lastEvent) {
				return;
			}
			if (id.get() != this.lastEvent + 1) {
				this.gap = true;
				return;
			}
			this.lastEvent = id.get();
		}
		this.listener.data(event);
	}

	@Override
	public void complete() {
		if (this.state == State.REFUSED) {
			giveBack();
			this.listener.notExecuted(this.refusal);
			return;
		}
		if (this.state != State.ANSWERING) {
			return;
		}
		if (this.gap || (this.events && this.splitter.midway())) {
			cancel();
			this.listener.failed(SendFailure.MALFORMED);
			return;
		}
		giveBack();
		this.listener.complete();
	}

	@Override
	public void failed(SendFailure failure) {
		boolean refused = this.state == State.REFUSED;
		if (this.state == State.ENDED) {
			return;
		}
		finish();
		if (refused) {
			this.listener.notExecuted(this.refusal);
		}
		else {
			this.listener.failed(failure);
		}
	}

	private void giveBack() {
		ClientConnection free = this.connection;
		finish();
		this.pool.release(this.address, free);
	}

	private void finish() {
		this.state = State.ENDED;
		this.connection = null;
		this.upstream.end(this.work);
	}

	@Override
	public String toString() {
		return this.upstream + "/" + this.state.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Makes the request when a connection is there, so that it states the time left then.
	 */
	@FunctionalInterface
	public interface RequestFactory {

		/**
		 * Makes the request.
		 * @return a new request
		 */
		FullHttpRequest make();

	}

	private enum State {

		CONNECTING, WAITING, REFUSED, ANSWERING, ENDED

	}

}
