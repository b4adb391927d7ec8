package org.ragworthook.cli;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/**
 * An entry that gives the answers it was told to, the last of them again and again.
 */
final class FakeEntry implements AutoCloseable {

	private final Vertx vertx = Vertx.vertx();

	private final HttpServer server = this.vertx.createHttpServer().requestHandler(this::answer);

	private final Map<String, Deque<Prepared>> answers = new HashMap<>();

	private final List<String> calls = new CopyOnWriteArrayList<>();

	private FakeEntry() {
		this.server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
	}

	static FakeEntry start() {
		return new FakeEntry();
	}

	FakeEntry on(String call, int status, String... bodies) {
		synchronized (this.answers) {
			Deque<Prepared> queue = this.answers.computeIfAbsent(call, (key) -> new ArrayDeque<>());
			for (String body : bodies) {
				queue.add(new Prepared(status, body));
			}
		}
		return this;
	}

	String url() {
		return "http://127.0.0.1:" + this.server.actualPort();
	}

	List<String> calls() {
		return new ArrayList<>(this.calls);
	}

	private void answer(HttpServerRequest request) {
		String call = request.method() + " " + request.path();
		request.body().onSuccess((body) -> {
			this.calls.add(call + " " + request.getHeader("Authorization") + " " + request.getHeader("If-Match") + " "
					+ request.getHeader("Idempotency-Key"));
			Prepared prepared = next(call);
			request.response().setStatusCode(prepared.status()).end(prepared.body());
		});
	}

	private Prepared next(String call) {
		synchronized (this.answers) {
			Deque<Prepared> queue = this.answers.get(call);
			if (queue == null) {
				return new Prepared(404, "{\"error\":{\"message\":\"no answer prepared for " + call + "\"}}");
			}
			return (queue.size() > 1) ? queue.poll() : queue.peek();
		}
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private record Prepared(int status, String body) {
	}

}
