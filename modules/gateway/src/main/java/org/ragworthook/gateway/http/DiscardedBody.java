package org.ragworthook.gateway.http;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Reads the rest of a response that nobody needs, so that its connection can be reused.
 * The rest may be long or never end; beyond small limits, the connection is closed.
 */
final class DiscardedBody implements ResponseListener {

	/** The size of a message about a rejection; a new connection costs less than more. */
	private static final int MAX_BYTES = 65_536;

	/** The time in which a body that was sent with its head arrives. */
	private static final Duration MAX_TIME = Duration.ofSeconds(1);

	private final ClientConnection connection;

	private final Runnable reusable;

	private final ScheduledFuture<?> timer;

	private int bytes;

	/**
	 * Starts the time limit.
	 * @param connection the connection
	 * @param loop the event loop of the connection
	 * @param reusable called when the response is complete
	 */
	DiscardedBody(ClientConnection connection, EventLoop loop, Runnable reusable) {
		this.connection = Objects.requireNonNull(connection, "connection is null");
		this.reusable = Objects.requireNonNull(reusable, "reusable is null");
		this.timer = loop.schedule(connection::close, MAX_TIME.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void head(HttpResponse head) {
	}

	@Override
	public void content(ByteBuf data) {
		this.bytes += data.readableBytes();
		if (this.bytes > MAX_BYTES) {
			this.timer.cancel(false);
			this.connection.close();
		}
	}

	@Override
	public void complete(ResponseEnd end) {
		this.timer.cancel(false);
		this.reusable.run();
	}

	@Override
	public void failed(SendFailure failure) {
		this.timer.cancel(false);
	}

}
