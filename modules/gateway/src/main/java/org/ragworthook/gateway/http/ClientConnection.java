package org.ragworthook.gateway.http;

import java.util.Objects;
import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection that carries one request at a time. All calls are made on its event loop.
 * <p>
 * An upstream may send an answer that nobody asked for: a second copy of an earlier one,
 * late. Taken as it comes, it would be passed to the next caller. Answers are therefore
 * matched by the id that they repeat: one of another request is skipped and the awaited
 * one follows it, and bytes on a connection without a request close it.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter {

	private static final long NO_LIMIT = Long.MAX_VALUE;

	private final Channel channel;

	private final String idHeader;

	private Exchange exchange;

	private ChannelFuture written;

	private boolean skipping;

	private boolean reset;

	private boolean reusable = true;

	private long idleLimitMillis = NO_LIMIT;

	ClientConnection(Channel channel, String idHeader) {
		this.channel = channel;
		this.idHeader = idHeader;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @param expectedId the id that the answer must repeat, or empty to take any
	 * @param listener takes the answer
	 */
	public void send(FullHttpRequest request, Optional<String> expectedId, ResponseListener listener) {
		Objects.requireNonNull(listener, "listener is null");
		if (!this.channel.isActive()) {
			request.release();
			listener.failed(SendFailure.NOT_SENT);
			return;
		}
		this.exchange = new Exchange(listener, expectedId.orElse(null));
		this.written = this.channel.writeAndFlush(request);
	}

	/**
	 * Closes the connection. The request in progress is abandoned; its listener hears no
	 * more.
	 */
	public void abandon() {
		this.exchange = null;
		this.reusable = false;
		this.channel.close();
	}

	/**
	 * Stops or goes on reading, so that a slow reader of the answer holds it back instead
	 * of having it gathered in memory.
	 * @param on whether to read
	 */
	public void read(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	/**
	 * Tells whether the connection can carry another request. An upstream may answer
	 * before it has read a long body; until it has taken the rest, the connection is not
	 * free.
	 * @return whether it is open, without a request, and both sides keep it
	 */
	public boolean reusable() {
		return this.reusable && this.exchange == null && !this.skipping && this.channel.isActive()
				&& (this.written == null || this.written.isDone());
	}

	/**
	 * Returns how long the connection may stay idle, as the other side stated.
	 * @return milliseconds, or empty if it stated nothing
	 */
	public Optional<Long> idleLimitMillis() {
		return (this.idleLimitMillis == NO_LIMIT) ? Optional.empty() : Optional.of(this.idleLimitMillis);
	}

	Channel channel() {
		return this.channel;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			read((HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
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
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skipping = true;
			return;
		}
		if (this.exchange == null || this.exchange.answered) {
			fail(SendFailure.MALFORMED);
			return;
		}
		String id = (this.exchange.expectedId != null) ? head.headers().get(this.idHeader) : null;
		if (id != null && !id.equals(this.exchange.expectedId)) {
			this.skipping = true;
			return;
		}
		this.exchange.answered = true;
		if (!HttpUtil.isKeepAlive(head)) {
			this.reusable = false;
		}
		KeepAliveHeader.timeoutMillis(head.headers().get(HttpHeaderNames.KEEP_ALIVE.toString()))
			.ifPresent((limit) -> this.idleLimitMillis = limit);
		this.exchange.listener.head(head);
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipping) {
			this.skipping = !last;
			return;
		}
		Exchange present = this.exchange;
		if (present == null || !present.answered) {
			return;
		}
		if (last && this.reset) {
			fail(SendFailure.BROKEN);
			return;
		}
		if (content.content().isReadable()) {
			present.listener.content(content.content());
		}
		if (last && this.exchange == present) {
			this.exchange = null;
			present.listener.complete();
		}
	}

	private void fail(SendFailure failure) {
		Exchange failed = this.exchange;
		this.exchange = null;
		this.reusable = false;
		this.channel.close();
		if (failed != null) {
			failed.listener.failed(failure);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail(SendFailure.BROKEN);
	}

	/**
	 * Notes a reset. The decoder ends an answer without a length when its connection
	 * ends; after a reset that end is not the answer's.
	 */
	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.reset = true;
		fail(SendFailure.BROKEN);
	}

	private static final class Exchange {

		private final ResponseListener listener;

		private final String expectedId;

		private boolean answered;

		Exchange(ResponseListener listener, String expectedId) {
			this.listener = listener;
			this.expectedId = expectedId;
		}

	}

}
