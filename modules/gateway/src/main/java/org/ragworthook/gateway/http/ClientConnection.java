package org.ragworthook.gateway.http;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.response.TransferCodings;
import org.ragworthook.gateway.memory.ByteBudget;

/**
 * A client connection that carries one request at a time. Used on its event loop.
 * <p>
 * An upstream may send a duplicate of an earlier response late, or a part of one. If it
 * were taken for the response to the current request, it would be forwarded to the wrong
 * caller. Responses are therefore matched by the request id that they repeat: a response
 * with another id, or without one, is skipped until the expected one follows, and bytes
 * that arrive while there is no request close the connection. Only the first response on
 * a connection that has carried nothing else needs no id; the connection then carries no
 * further request, since its server does not identify responses.
 * <p>
 * The HTTP decoder drops white space before a status line, and interim and skipped
 * responses may follow each other without end. All bytes up to the end of the expected
 * head are therefore limited together.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = EventLog.of(ClientConnection.class);

	private static final long NO_LIMIT = Long.MAX_VALUE;

	/**
	 * Responses after which a connection is replaced instead of remembering more ids.
	 */
	private static final int MAX_ANSWERED_IDS = 256;

	/** The most bytes of a status line. */
	static final int MAX_STATUS_LINE_BYTES = 8_192;

	/** The most bytes of all headers of a response. */
	static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 65_536;

	private static final int MAX_HEAD_BYTES = MAX_STATUS_LINE_BYTES + MAX_HEADER_BYTES;

	/** The most bytes of skipped responses: the size of a stored result. */
	private static final long MAX_SKIPPED_BYTES = 1 << 20;

	/** More than the duplicates of one response. */
	private static final int MAX_SKIPPED_RESPONSES = 8;

	/** The most characters of a stated request id that are logged. */
	private static final int MAX_LOGGED_ID_LENGTH = 80;

	private final UpstreamSocketChannel channel;

	private final ResponseHeads heads;

	private final ResponseDecoder decoder;

	/** The request in progress, or {@code null} if there is none. */
	private Exchange exchange;

	/** Completes when the last request has been written, or {@code null} before any. */
	private ChannelFuture written;

	/** Whether the response that is being read is skipped. */
	private boolean skipping;

	private boolean reusable = true;

	/**
	 * The ids of the requests that the upstream has responded to on this connection. A
	 * request may be sent again under its id, and a duplicate of the earlier response
	 * could then not be told from the later one.
	 */
	private final Set<String> answeredIds = new HashSet<>();

	private long idleLimitMillis = NO_LIMIT;

	private final ConnectionMemory memory;

	private final ReadingPauses pauses;

	/** Receives the reason for each response that is skipped. */
	private final Consumer<String> skipListener;

	/** The number of requests that were sent on this connection. */
	private int requests;

	/** The number of responses that were skipped since the last request was sent. */
	private int skippedResponses;

	/** Whether a read is in progress, behind which more messages may be decoded. */
	private boolean inRead;

	/** Called when the read in progress is over, or {@code null} if there is nothing. */
	private Runnable afterRead;

	/** The bytes that were received before the request in progress, or up to its end. */
	private long receivedBefore;

	ClientConnection(UpstreamSocketChannel channel, String requestIdHeader, ByteBudget budget, ReadingPauses pauses,
			Consumer<String> skipListener) {
		this.channel = channel;
		this.skipListener = skipListener;
		this.heads = new ResponseHeads(requestIdHeader);
		this.decoder = new ResponseDecoder(new HttpDecoderConfig().setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES), this::answersHead);
		this.pauses = pauses;
		this.memory = new ConnectionMemory(budget, channel, this::closeToFreeMemory);
	}

	/**
	 * Returns the decoder whose messages this connection reads.
	 * @return the decoder, which comes before this handler
	 */
	ResponseDecoder decoder() {
		return this.decoder;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param expectedId the request id that the response must repeat unless it is the
	 * first one on the connection, or empty to accept any response
	 * @param listener receives the response
	 */
	public void send(FullHttpRequest request, Optional<String> expectedId, ResponseListener listener) {
		Objects.requireNonNull(listener, "listener is null");
		if (!this.channel.isActive()) {
			request.release();
			listener.failed(SendFailure.NOT_SENT);
			return;
		}
		this.exchange = new Exchange(listener, request, expectedId.orElse(null), this.requests == 0);
		this.requests++;
		this.skippedResponses = 0;
		this.reusable &= !HttpMethod.HEAD.equals(request.method());
		this.receivedBefore = this.channel.receivedBytes();
		this.pauses.requestStarted();
		int length = request.content().readableBytes();
		this.written = this.channel.writeAndFlush(request);
		this.memory.writing(expectedId.orElse("-"), length, this.written);
	}

	/**
	 * States how much of an incomplete event the user of this connection holds.
	 * @param bytes the number of bytes
	 */
	public void holdsPart(int bytes) {
		this.memory.part(bytes);
	}

	/**
	 * Passes the rest of the response in progress to another listener.
	 * @param listener receives the rest
	 */
	void passRestTo(ResponseListener listener) {
		this.exchange.listener = listener;
	}

	/**
	 * Closes a connection whose request or response takes too much memory. That says
	 * nothing about the upstream.
	 */
	private void closeToFreeMemory() {
		fail(SendFailure.LOCAL_CAUSE);
	}

	/**
	 * Records that the upstream has rejected a request, so that it has to be sent again
	 * on another connection.
	 * @param requestId the id of the request
	 */
	public void rejected(String requestId) {
		answered(requestId);
	}

	private void answered(String requestId) {
		this.answeredIds.add(requestId);
		this.reusable &= this.answeredIds.size() <= MAX_ANSWERED_IDS;
	}

	/**
	 * Returns whether a request can be sent on this connection.
	 * @param requestId the id of the request
	 * @return false if the upstream has responded to a request of that id here
	 */
	boolean accepts(String requestId) {
		return !this.answeredIds.contains(requestId);
	}

	/**
	 * Closes the connection and abandons the request in progress, whose listener is not
	 * called any more.
	 */
	public void close() {
		this.exchange = null;
		this.reusable = false;
		this.channel.close();
	}

	/**
	 * Resumes or pauses reading. Pausing applies back-pressure to the upstream while the
	 * caller reads slowly, instead of buffering the response in memory.
	 * @param on whether to read
	 */
	public void autoRead(boolean on) {
		this.pauses.reading(on);
		this.channel.config().setAutoRead(on);
	}

	/**
	 * Returns whether the connection can carry another request. An upstream may respond
	 * before it has read a long body; the connection is not reusable until the rest has
	 * been written.
	 * @return whether the connection is open, idle and to be kept alive by both sides
	 */
	public boolean reusable() {
		return this.reusable && this.exchange == null && !this.skipping && this.channel.isActive()
				&& (this.written == null || this.written.isDone());
	}

	/**
	 * Returns how many requests the connection carried before the last one.
	 * @return the number of requests
	 */
	public int requestsBefore() {
		return Math.max(0, this.requests - 1);
	}

	/**
	 * Returns how many responses were skipped since the last request was sent.
	 * @return the number of responses that did not belong to it
	 */
	public int skippedResponses() {
		return this.skippedResponses;
	}

	/**
	 * Runs a task when all bytes of the read in progress are decoded. The decoder may
	 * hold bytes behind the response that has just ended. Those came before a request
	 * that is sent now, and would count as a response to it.
	 * @param task called now if the decoder holds nothing; not called if the read fails,
	 * which closes the connection
	 */
	void afterRead(Runnable task) {
		if (this.inRead && this.decoder.undecodedBytes() > 0) {
			this.afterRead = task;
		}
		else {
			task.run();
		}
	}

	/**
	 * Returns the idle timeout that the server has stated in {@code Keep-Alive}.
	 * @return milliseconds, or empty if the server has not stated any
	 */
	public Optional<Long> idleLimitMillis() {
		return (this.idleLimitMillis == NO_LIMIT) ? Optional.empty() : Optional.of(this.idleLimitMillis);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.inRead = true;
		try {
			read((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	/**
	 * Called after some bytes were read, also if the decoder has dropped all of them.
	 */
	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.channel.receivedBytes() - this.receivedBefore > allowedBytes()) {
			fail(SendFailure.MALFORMED);
		}
		this.inRead = false;
		Runnable task = this.afterRead;
		this.afterRead = null;
		if (task != null) {
			task.run();
		}
		context.fireChannelReadComplete();
	}

	/**
	 * Returns how much may be received since the request was sent, or since the end of
	 * the last response if there is no request.
	 * @return the number of bytes; the body is limited by its listener
	 */
	private long allowedBytes() {
		if (this.exchange == null) {
			return 0;
		}
		if (this.exchange.headReceived) {
			return Long.MAX_VALUE;
		}
		return MAX_HEAD_BYTES + ((this.skippedResponses > 0) ? MAX_SKIPPED_BYTES : 0);
	}

	private void read(HttpObject message) {
		if (message.decoderResult().isFailure()) {
			fail(SendFailure.MALFORMED);
			return;
		}
		if (message instanceof HttpResponse head) {
			head(head);
		}
		if (message instanceof HttpContent content) {
			content(content);
		}
	}

	private void head(HttpResponse head) {
		if (HttpResponseStatus.SWITCHING_PROTOCOLS.equals(head.status())) {
			fail(SendFailure.MALFORMED);
			return;
		}
		if (this.exchange != null && this.heads.joined(head)) {
			fail(SendFailure.MALFORMED);
			return;
		}
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skipping = true;
			return;
		}
		if (this.exchange == null || this.exchange.headReceived || !TransferCodings.readable(head.headers())) {
			fail(SendFailure.MALFORMED);
			return;
		}
		Optional<SkipReason> skipReason = skipReason(head);
		if (skipReason.isPresent()) {
			skip(head, skipReason.get());
			return;
		}
		this.reusable &= this.exchange.expectedId == null || !this.heads.statedIds(head).isEmpty();
		this.exchange.headReceived = true;
		if (this.exchange.expectedId != null) {
			answered(this.exchange.expectedId);
		}
		this.exchange.end = ResponseEnd.statedBy(this.exchange.method, head);
		if (!HttpUtil.isKeepAlive(head)) {
			this.reusable = false;
		}
		KeepAliveHeader.timeoutMillis(head.headers().get(HttpHeaderNames.KEEP_ALIVE.toString()))
			.ifPresent((limit) -> this.idleLimitMillis = limit);
		this.exchange.listener.head(head);
	}

	private Optional<SkipReason> skipReason(HttpResponse head) {
		Exchange current = this.exchange;
		return (current.expectedId != null) ? this.heads.skipReason(head, current.expectedId,
				current.firstOnConnection && this.skippedResponses == 0) : Optional.empty();
	}

	private boolean answersHead(HttpResponse head) {
		return this.exchange != null && !this.exchange.headReceived && HttpMethod.HEAD.equals(this.exchange.method)
				&& skipReason(head).isEmpty();
	}

	/**
	 * Skips a response that is not known to belong to the request in progress. Nothing
	 * can be told from a body that ends with the connection.
	 * @param head the head of the response
	 * @param reason why the response is skipped
	 */
	private void skip(HttpResponse head, SkipReason reason) {
		this.skipping = true;
		this.skippedResponses++;
		String stated = String.join(",", this.heads.statedIds(head));
		LOG.info("response_skipped", "request", this.exchange.expectedId, "stated",
				stated.substring(0, Math.min(MAX_LOGGED_ID_LENGTH, stated.length())), "reason", reason.label(),
				"status", head.status().code(), "address", this.channel.remoteAddress(), "carried_before",
				requestsBefore());
		this.skipListener.accept(reason.label());
		if (this.skippedResponses > MAX_SKIPPED_RESPONSES
				|| ResponseEnd.statedBy(HttpMethod.GET, head) == ResponseEnd.CONNECTION_CLOSED) {
			fail(SendFailure.MALFORMED);
		}
	}

	/**
	 * Returns whether the upstream has ended the connection in order. An upstream that
	 * closes a connection before it has read the request resets it, and whether the end
	 * or the reset is noticed first depends on timing.
	 * @return whether the whole request was written and the end of the connection was
	 * read
	 */
	private boolean endedInOrder() {
		return this.written.isSuccess() && this.channel.endedByPeer();
	}

	/**
	 * Returns whether the end of the connection would be that of the response in
	 * progress, and whether it could also be a break: a server that has read the request
	 * has nothing to reset.
	 * @return whether a request with a body has a response without a length
	 */
	boolean endDelimitsResponse() {
		return this.exchange != null && this.exchange.end == ResponseEnd.CONNECTION_CLOSED && this.exchange.hasBody;
	}

	/**
	 * Passes on a part of the body. The HTTP decoder takes every end of the connection
	 * for the end of a response without a length, which only an end by the upstream is.
	 * @param content the part
	 */
	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipping) {
			this.skipping = !last;
			if (last && this.heads.stateId(((LastHttpContent) content).trailingHeaders())) {
				fail(SendFailure.MALFORMED);
			}
			return;
		}
		Exchange current = this.exchange;
		if (current == null || !current.headReceived) {
			return;
		}
		if (last && current.end == ResponseEnd.CONNECTION_CLOSED && !endedInOrder()) {
			fail(SendFailure.BROKEN);
			return;
		}
		if (content.content().isReadable()) {
			current.listener.content(content.content());
		}
		if (last && this.exchange == current) {
			this.exchange = null;
			this.receivedBefore = this.channel.receivedBytes() - this.decoder.undecodedBytes();
			current.listener.complete(current.end);
		}
	}

	private void fail(SendFailure failure) {
		Exchange failed = this.exchange;
		if (failed == null && failure == SendFailure.MALFORMED && this.channel.isActive()) {
			LOG.info("unrequested_bytes", "bytes", this.channel.receivedBytes() - this.receivedBefore, "address",
					this.channel.remoteAddress(), "carried_before", this.requests);
		}
		this.exchange = null;
		this.reusable = false;
		this.channel.close();
		if (failed != null) {
			boolean cutOff = failure == SendFailure.BROKEN && this.pauses.mayHaveCutOff();
			failed.listener.failed(cutOff ? SendFailure.LOCAL_CAUSE : failure);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail(SendFailure.BROKEN);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail(SendFailure.BROKEN);
	}

	private static final class Exchange {

		private ResponseListener listener;

		private final HttpMethod method;

		private final boolean hasBody;

		private final String expectedId;

		/** Whether no request was sent on the connection before. */
		private final boolean firstOnConnection;

		private boolean headReceived;

		/** What marks the end of the response; known once its head was received. */
		private ResponseEnd end;

		Exchange(ResponseListener listener, FullHttpRequest request, String expectedId, boolean firstOnConnection) {
			this.listener = listener;
			this.method = request.method();
			this.hasBody = request.content().isReadable();
			this.expectedId = expectedId;
			this.firstOnConnection = firstOnConnection;
		}

	}

}
