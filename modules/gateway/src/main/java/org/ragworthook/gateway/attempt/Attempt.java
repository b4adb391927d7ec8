package org.ragworthook.gateway.attempt;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

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
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.ResponseListener;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.observe.RunObserver;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.WorkClass;

/**
 * One attempt to send a request to an upstream. Counts towards the upstream's load until
 * it ends, and drops events that the caller already has when a stream is resumed. Used on
 * the event loop of its connection.
 */
public final class Attempt implements ResponseListener {

	/**
	 * Sent by an upstream that the request was not addressed to, which did not execute
	 * it.
	 */
	private static final int MISDIRECTED = 421;

	private static final int SERVER_ERROR = 500;

	/**
	 * The most bytes of comments between two events: thousands of heartbeats.
	 */
	private static final int MAX_COMMENT_BYTES = 65_536;

	/** The class of the statuses of a success. */
	private static final int SUCCESSFUL = 2;

	private final TrackedUpstream upstream;

	private final WorkClass work;

	private final ConnectionPool pool;

	private final Address address;

	private final HeaderNames names;

	private final String requestId;

	private final AttemptListener listener;

	private final HeadCheck headCheck;

	private final RunObserver observer;

	private final SseFrameDecoder decoder = SseFrameDecoder.create();

	/** Ends the attempt when the upstream has started again, which broke it off. */
	private final Runnable upstreamRestarted = this::breakOff;

	private ClientConnection connection;

	/** How many requests the connection carried before this one. */
	private int carriedBefore;

	/** How many responses were skipped before the one to this request. */
	private int skippedResponses;

	private State state = State.CONNECTING;

	/** Whether the response is a stream of server-sent events. */
	private boolean eventStream;

	private boolean sent;

	/** The HTTP status of the response, or 0 before its head was received. */
	private int status;

	/** The id of the last event that was received before this attempt, or 0. */
	private final long resumedFrom;

	private long lastEventId;

	/** The highest id of an event that was received in this attempt, or 0. */
	private long highestId;

	/** The bytes of the body since the last event that is new. */
	private long bytesWithoutEvent;

	/** The bytes of complete comments since the last event that has content. */
	private long commentBytes;

	private Attempt(TrackedUpstream upstream, WorkClass work, ConnectionPool pool, HeaderNames names, Outgoing request,
			AttemptListener listener) {
		this.upstream = upstream;
		this.work = work;
		this.pool = pool;
		this.address = upstream.descriptor().address();
		this.names = names;
		this.requestId = request.id();
		this.resumedFrom = request.lastEventId();
		this.lastEventId = request.lastEventId();
		this.headCheck = request.headCheck();
		this.observer = request.observer();
		this.listener = listener;
	}

	/**
	 * Starts an attempt.
	 * @param upstream the upstream to send the request to
	 * @param work the class of work that the request counts as in the upstream's load
	 * @param pool the pool that the connection is taken from
	 * @param names the names of headers
	 * @param request the request
	 * @param listener receives the response
	 * @return the attempt
	 */
	public static Attempt start(TrackedUpstream upstream, WorkClass work, ConnectionPool pool, HeaderNames names,
			Outgoing request, AttemptListener listener) {
		Attempt attempt = new Attempt(upstream, work, pool, names, request, listener);
		upstream.begin(work);
		upstream.onRestart(attempt.upstreamRestarted);
		pool.acquire(attempt.address, request.id(), (connection) -> attempt.connected(connection, request));
		return attempt;
	}

	private void connected(Optional<ClientConnection> opened, Outgoing request) {
		if (this.state != State.CONNECTING) {
			opened.ifPresent((connection) -> this.pool.release(this.address, connection));
			return;
		}
		if (opened.isEmpty()) {
			finish();
			this.observer.ended(RunObserver.End.FAILED);
			this.listener.failed(SendFailure.NOT_SENT);
			return;
		}
		this.connection = opened.get();
		this.state = State.WAITING;
		this.sent = true;
		this.observer.sent(this.resumedFrom > 0);
		FullHttpRequest message = request.message().create();
		message.headers()
			.set(this.names.expectedUpstream(), this.upstream.descriptor().id())
			.set(this.names.requestId(), this.requestId);
		this.connection.send(message, Optional.of(this.requestId), this);
	}

	/**
	 * Creates an HTTP request.
	 * @param method the HTTP method
	 * @param uri the path and the query
	 * @param headers the headers, which are copied
	 * @param body the body
	 * @return the request, with {@code Content-Length} unless it is a GET without a body
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
	 * Returns the upstream of this attempt.
	 * @return the upstream
	 */
	public TrackedUpstream upstream() {
		return this.upstream;
	}

	/**
	 * Returns whether the request was written to a connection.
	 * @return whether the upstream may have received it
	 */
	public boolean sent() {
		return this.sent;
	}

	/**
	 * Returns the id of the last event that was passed to the listener or received
	 * before.
	 * @return the id, or 0 if there is none
	 */
	public long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the id of the event after which the stream was resumed.
	 * @return the id, or 0 if the request was sent for the first time
	 */
	public long resumedFrom() {
		return this.resumedFrom;
	}

	/**
	 * Returns the status of the response.
	 * @return the HTTP status, or 0 if no head was received
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the response is a stream of server-sent events.
	 * @return false before its head was received
	 */
	public boolean eventStream() {
		return this.eventStream;
	}

	/**
	 * Returns how many requests the connection of the ended attempt carried before.
	 * @return the number, or 0 if the connection was a new one
	 */
	public int carriedBefore() {
		return this.carriedBefore;
	}

	/**
	 * Returns how many responses were skipped on the connection of the ended attempt
	 * before the one to its request.
	 * @return the number of responses
	 */
	public int skippedResponses() {
		return this.skippedResponses;
	}

	/**
	 * Resumes or pauses reading the response.
	 * @param on whether to read
	 */
	public void autoRead(boolean on) {
		if (this.connection != null && this.state == State.ANSWERING) {
			this.observer.readingChanged();
			this.connection.autoRead(on);
		}
	}

	/**
	 * Cancels the attempt and closes its connection, upon which the upstream stops its
	 * work. The listener is not called any more.
	 */
	public void cancel() {
		if (this.state == State.ENDED) {
			return;
		}
		ClientConnection open = this.connection;
		finish();
		if (open != null) {
			open.close();
		}
	}

	private void breakOff() {
		if (this.state == State.ENDED) {
			return;
		}
		fail(this.sent ? SendFailure.BROKEN : SendFailure.NOT_SENT);
	}

	/**
	 * Ends the attempt because of what was received, and closes its connection. The
	 * attempt must be in progress.
	 */
	public void failAsMalformed() {
		fail(SendFailure.MALFORMED);
	}

	private void fail(SendFailure failure) {
		cancel();
		this.observer.ended(RunObserver.End.FAILED);
		this.listener.failed(failure);
	}

	@Override
	public void head(HttpResponse head) {
		this.status = head.status().code();
		boolean notExecuted = this.status == MISDIRECTED || head.headers().contains(this.names.notExecuted());
		if (notExecuted) {
			rejected();
			return;
		}
		if (Set.copyOf(head.headers().getAll(this.names.signature())).size() != 1) {
			failAsMalformed();
			return;
		}
		this.upstream.recordSuccess();
		this.eventStream = this.status == HeadCheck.OK && SseFrameDecoder.decodes(head);
		if (!this.headCheck.accepts(this.status, this.eventStream)) {
			fail(SendFailure.UNUSABLE);
			return;
		}
		this.state = State.ANSWERING;
		this.listener.head(head);
	}

	/**
	 * Ends the attempt at the head of a rejection, which states the outcome. Its body may
	 * never end.
	 */
	private void rejected() {
		ClientConnection rejecting = this.connection;
		rejecting.rejected(this.requestId);
		finish();
		this.pool.releaseAfterResponse(this.address, rejecting);
		this.observer.ended(RunObserver.End.REJECTED);
		this.listener.notExecuted(this.status);
	}

	@Override
	public void content(ByteBuf data) {
		if (this.state != State.ANSWERING) {
			return;
		}
		this.bytesWithoutEvent += data.readableBytes();
		if (limitsBytes() && this.bytesWithoutEvent > this.pool.maxValueBytes()) {
			failAsMalformed();
			return;
		}
		if (this.eventStream) {
			this.decoder.decode(data, this::event);
			if (this.connection != null) {
				this.connection.holdsPart(this.decoder.heldBytes());
			}
			return;
		}
		byte[] bytes = new byte[data.readableBytes()];
		data.readBytes(bytes);
		this.listener.data(bytes);
	}

	/**
	 * Returns whether the bytes between two events, or of a body without events, are
	 * limited. The body of a success online is not: its caller reads it up to the
	 * deadline, and nothing of it is held.
	 * @return whether more bytes than a sound upstream sends end the attempt
	 */
	private boolean limitsBytes() {
		return this.eventStream || this.work == WorkClass.BATCH || this.status / 100 != SUCCESSFUL;
	}

	private void event(byte[] event) {
		if (this.state != State.ANSWERING) {
			return;
		}
		this.connection.holdsPart(0);
		Optional<Long> id = SseFrameDecoder.id(event);
		boolean hasContent = id.isPresent() || SseFrameDecoder.data(event).isPresent();
		if (hasContent) {
			this.observer.event();
		}
		if (hasContent && id.map((number) -> number > this.highestId).orElse(true)) {
			this.highestId = id.orElse(this.highestId);
			this.bytesWithoutEvent = 0;
		}
		this.commentBytes = hasContent ? 0 : this.commentBytes + event.length;
		if (this.commentBytes > MAX_COMMENT_BYTES) {
			failAsMalformed();
			return;
		}
		if (id.isPresent()) {
			if (id.get() <= this.lastEventId) {
				return;
			}
			if (id.get() != this.lastEventId + 1) {
				failAsMalformed();
				return;
			}
			this.lastEventId = id.get();
		}
		this.listener.data(event);
	}

	@Override
	public void complete(ResponseEnd end) {
		if (this.state != State.ANSWERING) {
			return;
		}
		if (this.eventStream && this.decoder.hasPartialEvent()) {
			failAsMalformed();
			return;
		}
		releaseConnection();
		this.observer.ended((this.status >= SERVER_ERROR) ? RunObserver.End.FAILED : RunObserver.End.COMPLETE);
		this.listener.complete(end);
	}

	@Override
	public void failed(SendFailure failure) {
		if (this.state == State.ENDED) {
			return;
		}
		finish();
		if (failure.countsAgainstUpstream()) {
			this.observer.ended(RunObserver.End.FAILED);
		}
		this.listener.failed(failure);
	}

	private void releaseConnection() {
		ClientConnection released = this.connection;
		released.holdsPart(0);
		finish();
		this.pool.release(this.address, released);
	}

	private void finish() {
		this.state = State.ENDED;
		if (this.connection != null) {
			this.carriedBefore = this.connection.requestsBefore();
			this.skippedResponses = this.connection.skippedResponses();
		}
		this.connection = null;
		this.upstream.removeRestartTask(this.upstreamRestarted);
		this.upstream.end(this.work);
	}

	@Override
	public String toString() {
		return this.upstream + "/" + this.state.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Creates the request when the connection is open, so that the request states the
	 * time that is left at that moment.
	 */
	@FunctionalInterface
	public interface RequestFactory {

		/**
		 * Creates the request.
		 * @return a new request
		 */
		FullHttpRequest create();

	}

	/**
	 * A request as it is sent in one attempt.
	 *
	 * @param message creates the HTTP request, once the connection is open
	 * @param id the request id, which the response must repeat
	 * @param lastEventId the id of the last event that was received before, or 0
	 * @param headCheck decides whether the response can be used
	 * @param observer receives the times of the attempt
	 */
	public record Outgoing(RequestFactory message, String id, long lastEventId, HeadCheck headCheck,
			RunObserver observer) {

		/**
		 * Checks that no component is null.
		 */
		public Outgoing {
			Objects.requireNonNull(message, "message is null");
			Objects.requireNonNull(id, "id is null");
			Objects.requireNonNull(headCheck, "headCheck is null");
			Objects.requireNonNull(observer, "observer is null");
		}

	}

	private enum State {

		CONNECTING, WAITING, ANSWERING, ENDED

	}

}
