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
 * Sends HTTP requests whose responses are short and held in memory.
 */
public final class PooledHttpClient {

	private final ConnectionPool pool;

	private final int maxResponseBytes;

	private PooledHttpClient(ConnectionPool pool, int maxResponseBytes) {
		if (maxResponseBytes <= 0) {
			throw new IllegalArgumentException("maxResponseBytes is " + maxResponseBytes);
		}
		this.maxResponseBytes = maxResponseBytes;
		this.pool = Objects.requireNonNull(pool, "pool is null");
	}

	/**
	 * Creates a client that uses the connections of a pool.
	 * @param pool the pool
	 * @param maxResponseBytes the most bytes of the body of a response; a longer one is
	 * malformed
	 * @return the client
	 */
	public static PooledHttpClient of(ConnectionPool pool, int maxResponseBytes) {
		return new PooledHttpClient(pool, maxResponseBytes);
	}

	/**
	 * Sends a request. May be called from any thread.
	 * @param address the server's address
	 * @param request the request, which is released by this method
	 * @param timeout the time limit for the response, including the time to connect
	 * @return the response; fails with a {@link SendException}; if it is cancelled, the
	 * call ends and its connection is closed
	 */
	public CompletableFuture<BufferedResponse> call(Address address, FullHttpRequest request, Duration timeout) {
		Call call = new Call(address, request, timeout);
		call.result.whenComplete((response, failure) -> {
			if (call.result.isCancelled()) {
				this.pool.loop().execute(call::cancelled);
			}
		});
		this.pool.loop().execute(call::start);
		return call.result;
	}

	private final class Call implements ResponseListener {

		private final CompletableFuture<BufferedResponse> result = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final Address address;

		private final FullHttpRequest request;

		private final Duration timeout;

		private final String description;

		private ScheduledFuture<?> timer;

		private ClientConnection connection;

		private int status;

		private HttpHeaders headers;

		Call(Address address, FullHttpRequest request, Duration timeout) {
			this.address = address;
			this.request = request;
			this.timeout = timeout;
			this.description = request.method() + " " + request.uri();
		}

		void start() {
			this.timer = PooledHttpClient.this.pool.loop()
				.schedule(this::timedOut, this.timeout.toMillis(), TimeUnit.MILLISECONDS);
			PooledHttpClient.this.pool.acquire(this.address, this::connected);
		}

		private void connected(Optional<ClientConnection> opened) {
			if (this.result.isDone()) {
				opened.ifPresent((unused) -> PooledHttpClient.this.pool.release(this.address, unused));
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
				this.connection.close();
			}
			failed((this.connection != null) ? SendFailure.TIMED_OUT : SendFailure.NOT_SENT);
		}

		private void cancelled() {
			this.timer.cancel(false);
			if (this.connection != null) {
				this.connection.close();
			}
		}

		@Override
		public void head(HttpResponse head) {
			this.status = head.status().code();
			this.headers = head.headers();
		}

		@Override
		public void content(ByteBuf data) {
			if (data.readableBytes() > PooledHttpClient.this.maxResponseBytes - this.body.size()) {
				this.connection.close();
				failed(SendFailure.MALFORMED);
				return;
			}
			byte[] bytes = new byte[data.readableBytes()];
			data.readBytes(bytes);
			this.body.writeBytes(bytes);
		}

		@Override
		public void complete(ResponseEnd end) {
			this.timer.cancel(false);
			PooledHttpClient.this.pool.release(this.address, this.connection);
			this.result.complete(new BufferedResponse(this.status, this.headers, this.body.toByteArray()));
		}

		@Override
		public void failed(SendFailure failure) {
			this.timer.cancel(false);
			if (!this.result.isDone()) {
				this.result.completeExceptionally(new SendException(failure,
						this.description + " at " + this.address + " got no response: " + failure));
			}
		}

	}

}
