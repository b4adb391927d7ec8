package org.ragworthook.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.wire.message.Run;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests a call that stops to read its answer for a time.
 */
class PausedCallTests {

	private static final int WAIT_SECONDS = 20;

	/** In this time the end of a connection is noticed if it is read. */
	private static final int PAUSE_MILLIS = 100;

	/** What is delivered at once. */
	private static final String PIECE = "x".repeat(8_192);

	private static final int MAX_PIECES = 40;

	private static final Run RUN = Run.newBuilder().setMethod("POST").setPath("/book").setStream(true).build();

	private final CompletableFuture<Void> paused = new CompletableFuture<>();

	private final CompletableFuture<CallEnd> end = new CompletableFuture<>();

	private final AtomicReference<UpstreamCall> call = new AtomicReference<>();

	private final StringBuilder body = new StringBuilder();

	private Vertx vertx;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private void output(CallOutput piece) {
		this.body.append(new String(piece.body(), StandardCharsets.UTF_8));
		if (!this.paused.isDone()) {
			this.call.get().pause();
			this.vertx.setTimer(PAUSE_MILLIS, (id) -> this.call.get().resume());
			this.paused.complete(null);
		}
	}

	/**
	 * Guards against an answer that loses its end as the engine closes the connection
	 * while the call does not read, whatever has been received by then.
	 */
	@ParameterizedTest
	@MethodSource("answers")
	void shouldReadTheRestOfAnAnswerWhoseConnectionWasClosed(boolean lengthStated, int pieces) throws Exception {
		String length = lengthStated ? "Content-Length: " + pieces * PIECE.length() + "\r\n" : "";
		ScriptedServer.Script script = (request) -> {
			request.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + length + "\r\n" + PIECE);
			this.paused.join();
			for (int i = 1; i < pieces; i++) {
				request.send(PIECE);
			}
			return false;
		};
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			this.vertx.getOrCreateContext()
				.runOnContext((ignored) -> this.call.set(client.start(RUN, new CallListener() {

					@Override
					public void output(CallOutput piece) {
						PausedCallTests.this.output(piece);
					}

					@Override
					public void ended(CallEnd ended) {
						PausedCallTests.this.end.complete(ended);
					}

				})));
			assertThat(this.end.get(WAIT_SECONDS, TimeUnit.SECONDS).kind()).isEqualTo(CallEnd.Kind.ANSWERED);
			assertThat(this.body.toString()).isEqualTo(PIECE.repeat(pieces));
		}
	}

	static Stream<Arguments> answers() {
		return Stream.of(true, false)
			.flatMap((lengthStated) -> IntStream.rangeClosed(2, MAX_PIECES)
				.mapToObj((pieces) -> Arguments.of(lengthStated, pieces)));
	}

}
