package org.ragworthook.daemon.sidecar;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.daemon.fake.ScriptedServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests what the probes and the queue reports of an engine take for an answer.
 */
class EngineReportTests {

	private static final String PAGE = "vllm:num_requests_waiting 7\n";

	private static final int WAIT_SECONDS = 20;

	private final AtomicLong sent = new AtomicLong();

	private final CompletableFuture<Void> closed = new CompletableFuture<>();

	private Vertx vertx;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private boolean probe(ScriptedServer engine) {
		try (UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			UpstreamHealth health = new UpstreamHealth(this.vertx, client, () -> {
			});
			return health.probe()
				.toCompletionStage()
				.toCompletableFuture()
				.handle((answer, failure) -> failure == null)
				.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS)
				.join();
		}
	}

	private boolean sendWithoutEnd(ScriptedServer.Request request) {
		try {
			request.send("HTTP/1.1 200 OK\r\n\r\n");
			request.sendWithoutEnd("x", this.sent);
		}
		catch (IOException ex) {
			this.closed.complete(null);
		}
		return false;
	}

	/** Guards against an engine that counts as up although it sends no answer. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 200 OK\r\nX-No te: 1",
			"HTTP/1.1 200 OK\r\nX-No\u0001te: 1", "HTTP/1.1 102 Processing" })
	void shouldNotTakeAMalformedAnswerToAProbe(String head) throws IOException {
		try (ScriptedServer engine = ScriptedServer.start((request) -> {
			request.send(head + "\r\n\r\n");
			return false;
		})) {
			assertThat(probe(engine)).isFalse();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 404, 500, 599 })
	void shouldTakeAnyStatusForAnAnswerToAProbe(int status) throws IOException {
		try (ScriptedServer engine = ScriptedServer.start((request) -> {
			request.send("HTTP/1.1 " + status + " ?\r\nContent-Length: 0\r\n\r\n");
			return true;
		})) {
			assertThat(probe(engine)).isTrue();
		}
	}

	/** Guards against a probe whose answer is read, and dropped, without end. */
	@Test
	void shouldNotReadTheBodyOfAnAnswerToAProbe() throws Exception {
		try (ScriptedServer engine = ScriptedServer.start(this::sendWithoutEnd);
				UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			UpstreamHealth health = new UpstreamHealth(this.vertx, client, () -> {
			});
			health.probe().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
			this.closed.get(WAIT_SECONDS, TimeUnit.SECONDS);
			assertThat(this.sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

	/**
	 * Guards against a page without end that is kept until the process runs out of
	 * memory, and after which no page is read.
	 */
	@Test
	void shouldReadTheNextPageAfterOneWithoutEnd() throws Exception {
		CompletableFuture<Integer> waiting = new CompletableFuture<>();
		ScriptedServer.Script script = (request) -> {
			if (!this.closed.isDone()) {
				return sendWithoutEnd(request);
			}
			request.send("HTTP/1.1 200 OK\r\nContent-Length: " + PAGE.length() + "\r\n\r\n" + PAGE);
			return true;
		};
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			this.vertx.getOrCreateContext()
				.runOnContext((ignored) -> QueueReports.follow(this.vertx, client, waiting::complete));
			assertThat(waiting.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(7);
			assertThat(this.sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

}
