package org.ragworthook.wire.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;

/**
 * Tells the orderly end of a connection, which delimits a response without a length, from
 * that of a server that breaks off.
 * <p>
 * A server that closes a connection with unread bytes of the request first ends its side
 * in order and resets the connection a moment later. That the request was written proves
 * nothing: the buffers of both systems hold megabytes that the server has not read. The
 * connection is therefore kept for {@link #RESET_DELAY} after the server's end. A write
 * then fails if the connection was reset; the empty line that is written is ignored by
 * servers (RFC 9112, 2.2).
 * <p>
 * Comes before the HTTP decoder, which takes any end for that of the response.
 */
public final class OrderlyEndHandler extends ChannelInboundHandlerAdapter {

	/** The time in which a reset follows the end of a server that has closed. */
	public static final Duration RESET_DELAY = Duration.ofMillis(50);

	private static final byte[] EMPTY_LINE = { '\r', '\n' };

	private final BooleanSupplier delimits;

	/**
	 * Creates the handler of a connection.
	 * @param delimits returns whether the end of the connection is that of a response; in
	 * all other cases the connection is closed at once
	 */
	public OrderlyEndHandler(BooleanSupplier delimits) {
		this.delimits = Objects.requireNonNull(delimits, "delimits is null");
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			if (this.delimits.getAsBoolean() && isWritten(context)) {
				// Else the selector would report the end again and again.
				context.channel().config().setAutoRead(false);
				context.executor()
					.schedule(() -> closeUnlessReset(context), RESET_DELAY.toMillis(), TimeUnit.MILLISECONDS);
			}
			else {
				context.close();
			}
		}
		else if (!(event instanceof ChannelInputShutdownReadComplete)) {
			context.fireUserEventTriggered(event);
		}
	}

	private static boolean isWritten(ChannelHandlerContext context) {
		ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
		return pending != null && pending.isEmpty();
	}

	private static void closeUnlessReset(ChannelHandlerContext context) {
		if (!context.channel().isActive()) {
			return;
		}
		ChannelFuture written = context.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE));
		if (!written.isSuccess()) {
			context.fireExceptionCaught(new IOException("the connection was reset behind its end", written.cause()));
		}
		context.close();
	}

}
