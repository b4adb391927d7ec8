package org.ragworthook.daemon.fake;

import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/**
 * An upstream whose calls wait until a test answers them.
 */
public final class FakeUpstream implements AutoCloseable {

	/** How long a test waits for what must happen before it fails. */
	static final long PATIENCE_SECONDS = 10;

	private final Vertx vertx;

	private final BlockingQueue<FakeCall> calls = new LinkedBlockingQueue<>();

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger count = new AtomicInteger();

	private final AtomicBoolean dead = new AtomicBoolean();

	private volatile Consumer<FakeCall> answering = this.calls::add;

	private HttpServer server;

	private int port;

	private FakeUpstream(Vertx vertx) {
		this.vertx = vertx;
		listen(0);
	}

	/**
	 * Starts an upstream.
	 * @param vertx carries its server
	 * @return the upstream, listening
	 */
	public static FakeUpstream start(Vertx vertx) {
		return new FakeUpstream(vertx);
	}

	private void listen(int wanted) {
		this.server = this.vertx.createHttpServer().connectionHandler((connection) -> {
			this.connections.add(connection);
			connection.closeHandler((ignored) -> this.connections.remove(connection));
		}).requestHandler(this::take);
		this.port = this.server.listen(wanted, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join()
			.actualPort();
	}

	private void take(HttpServerRequest request) {
		if (request.path().equals("/health")) {
			if (this.dead.getAndSet(false)) {
				request.connection().close();
			}
			else {
				request.response().end("ok");
			}
			return;
		}
		if (request.path().equals("/metrics")) {
			request.response().setStatusCode(404).end();
			return;
		}
		request.body().onSuccess((body) -> {
			this.count.incrementAndGet();
			this.answering.accept(new FakeCall(this.vertx.getOrCreateContext(), request, body.toString()));
		});
	}

	/**
	 * Returns the next call, waiting for it.
	 * @return a call that has not been answered
	 */
	public FakeCall next() {
		try {
			FakeCall call = this.calls.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
			if (call == null) {
				throw new AssertionError("no call came to the upstream");
			}
			return call;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError("interrupted", ex);
		}
	}

	/**
	 * Has all further calls answered as they come, instead of waiting for the test.
	 * @param newAnswering answers a call
	 */
	public void answerEach(Consumer<FakeCall> newAnswering) {
		this.answering = newAnswering;
	}

	/**
	 * Returns how many calls have come.
	 * @return a count
	 */
	public int count() {
		return this.count.get();
	}

	/**
	 * Returns the base URL.
	 * @return the URL
	 */
	public String url() {
		return "http://127.0.0.1:" + this.port;
	}

	/**
	 * Listens again where it did before it crashed.
	 */
	public void comeBack() {
		listen(this.port);
	}

	/**
	 * Crashes and comes back as soon as it has been found gone: every connection breaks,
	 * and the next look at its health fails.
	 */
	public void crashOnce() {
		this.dead.set(true);
		this.connections.forEach(HttpConnection::close);
	}

	/**
	 * Crashes for good: the port closes and every connection breaks.
	 */
	public void crash() {
		this.server.close().toCompletionStage().toCompletableFuture().join();
		this.connections.forEach(HttpConnection::close);
	}

	@Override
	public void close() {
		crash();
	}

}
