package org.ragworthook.gateway.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.ragworthook.core.fleet.Address;

/**
 * Calls whose answers are short and taken whole.
 */
public final class HttpCalls {

	private final ConnectionPool pool;

	private HttpCalls(ConnectionPool pool) {
		this.pool = Objects.requireNonNull(pool, "pool is null");
	}

	/**
	 * Returns calls over the connections of a pool.
	 * @param pool the connections
	 * @return the calls
	 */
	public static HttpCalls of(ConnectionPool pool) {
		return new HttpCalls(pool);
	}

	/**
	 * Makes a call. May be used from any thread.
	 * @param address where to
	 * @param request the request, released by this call
	 * @param timeout how long the answer may take, connecting included
	 * @return the answer; fails with a {@link SendException}
	 */
	public CompletableFuture<HttpAnswer> call(Address address, FullHttpRequest request, Duration timeout) {
		Call call = new Call(address, request, timeout);
		this.pool.loop().execute(call::start);
		return call.result;
	}

	private final class Call implements ResponseListener {

		private final CompletableFuture<HttpAnswer> result = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final Address address;

		private final FullHttpRequest request;

		private final Duration timeout;

		private final String name;

		private ScheduledFuture<?> timer;

		private ClientConnection connection;

		private int status;

		private HttpHeaders headers;

		Call(Address address, FullHttpRequest request, Duration timeout) {
			this.address = address;
			this.request = request;
			this.timeout = timeout;
			this.name = request.method() + " " + request.uri();
		}

		void start() {
			this.timer = HttpCalls.this.pool.loop()
				.schedule(this::timedOut, this.timeout.toMillis(), TimeUnit.MILLISECONDS);
			HttpCalls.this.pool.acquire(this.address, this::connected);
		}

		private void connected(Optional<ClientConnection> opened) {
			if (this.result.isDone()) {
				opened.ifPresent((free) -> HttpCalls.this.pool.release(this.address, free));
				this.request.release();
				return;
			}
			if (opened.isEmpty()) {
				this.request.release();
				failed(SendFailure.NOT_SENT);
				return;
			}
			this.connection = opened.get();
			this.connection.send(this.request, Optional.empty(), this);
		}

		private void timedOut() {
			if (this.connection != null) {
				this.connection.abandon();
			}
			failed((this.connection != null) ? SendFailure.BROKEN : SendFailure.NOT_SENT);
		}

		@Override
		public void head(HttpResponse head) {
			this.status = head.status().code();
			this.headers = head.headers();
		}

		@Override
		public void content(ByteBuf data) {
			byte[] bytes = new byte[data.readableBytes()];
			data.readBytes(bytes);
			this.body.writeBytes(bytes);
		}

		@Override
		public void complete() {
			this.timer.cancel(false);
			HttpCalls.this.pool.release(this.address, this.connection);
			this.result.complete(new HttpAnswer(this.status, this.headers, this.body.toByteArray()));
		}

		@Override
		public void failed(SendFailure failure) {
			this.timer.cancel(false);
			if (!this.result.isDone()) {
				this.result.completeExceptionally(
						new SendException(failure, this.name + " at " + this.address + " got no answer: " + failure));
			}
		}

	}

}
