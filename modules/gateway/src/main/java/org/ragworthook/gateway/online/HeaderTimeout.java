package org.ragworthook.gateway.online;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpConstants;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;

/**
 * Closes the connection of a caller that does not complete the headers of a request in
 * time. The HTTP server reports a request only when its headers are complete, so this
 * handler stands before it and sees the first byte.
 */
final class HeaderTimeout extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = EventLog.of(HeaderTimeout.class);

	private static final byte[] RESPONSE = ("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
			+ "Content-Length: 0\r\n\r\n")
		.getBytes(StandardCharsets.US_ASCII);

	private final Timers timers;

	private final Supplier<Duration> limit;

	private final BooleanSupplier betweenRequests;

	private Timers.Timer timer;

	/** The place of this handler, or {@code null} before it has one. */
	private ChannelHandlerContext place;

	/** Whether headers were completed by the bytes that are being read. */
	private boolean completed;

	/**
	 * Creates a handler for one connection.
	 * @param timers schedules the check, on the event loop
	 * @param limit returns the time in which headers have to be complete
	 * @param betweenRequests returns whether the next byte begins a request
	 */
	HeaderTimeout(Timers timers, Supplier<Duration> limit, BooleanSupplier betweenRequests) {
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.limit = Objects.requireNonNull(limit, "limit is null");
		this.betweenRequests = Objects.requireNonNull(betweenRequests, "betweenRequests is null");
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.place = context;
	}

	/**
	 * Closes the connection without waiting until what is held for it is written. The
	 * HTTP server, whose handlers stand behind this one, would write all of it first, and
	 * a caller that does not read would keep its connection and the memory.
	 */
	void closeNow() {
		this.place.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		boolean begins = this.timer == null && this.betweenRequests.getAsBoolean() && !lineEnds(message);
		this.completed = false;
		context.fireChannelRead(message);
		if (begins && !this.completed && context.channel().isActive()) {
			Duration time = this.limit.get();
			this.timer = this.timers.schedule(time, () -> timedOut(context, time));
		}
	}

	/**
	 * Returns whether a message consists of line ends, which some callers send after the
	 * body of a request.
	 * @param message the message
	 * @return whether it begins no request
	 */
	private static boolean lineEnds(Object message) {
		return message instanceof ByteBuf bytes
				&& bytes.forEachByte((value) -> value == HttpConstants.CR || value == HttpConstants.LF) < 0;
	}

	/**
	 * Returns whether the headers of a request have begun to arrive.
	 * @return whether they are not complete yet
	 */
	boolean pending() {
		return this.timer != null;
	}

	private void timedOut(ChannelHandlerContext context, Duration time) {
		this.timer = null;
		LOG.info("upload_too_slow", "request", "-", "part", "headers", "limit_ms", time.toMillis());
		context.writeAndFlush(Unpooled.wrappedBuffer(RESPONSE)).addListener((written) -> closeNow());
	}

	/**
	 * Called when the headers of a request are complete.
	 */
	void headersComplete() {
		this.completed = true;
		if (this.timer != null) {
			this.timer.cancel();
			this.timer = null;
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		headersComplete();
		context.fireChannelInactive();
	}

}
