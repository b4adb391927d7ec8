package org.ragworthook.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import org.ragworthook.wire.message.Run;

/**
 * Makes calls to fake engines.
 */
final class EngineCalls implements AutoCloseable {

	private static final int WAIT_SECONDS = 20;

	/** The most characters of a body that are kept. */
	private static final int MAX_KEPT = 65_536;

	private final Vertx vertx = Vertx.vertx();

	/**
	 * Makes a call.
	 * @param url the base URL of the engine
	 * @param kind the kind of request
	 * @param prompt the prompt, which is in the body
	 * @return what the call got
	 */
	Answer call(String url, Kind kind, String prompt) {
		Run run = Run.newBuilder()
			.setMethod("POST")
			.setPath(kind.generates() ? "/v1/completions" : "/book")
			.setStream(kind.stream())
			.setBody(ByteString.copyFromUtf8("{\"prompt\":\"" + prompt + "\"}"))
			.build();
		CompletableFuture<CallEnd> end = new CompletableFuture<>();
		StringBuilder body = new StringBuilder();
		try (UpstreamClient client = UpstreamClient.of(this.vertx, url, 1)) {
			this.vertx.getOrCreateContext().runOnContext((ignored) -> client.start(run, new CallListener() {

				@Override
				public void output(CallOutput piece) {
					if (body.length() < MAX_KEPT) {
						body.append(new String(piece.body(), StandardCharsets.UTF_8));
					}
				}

				@Override
				public void ended(CallEnd ended) {
					end.complete(ended);
				}

			}));
			return new Answer(end.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join().kind(), body.toString());
		}
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/** The requests that differ in who states the end of their answers. */
	enum Kind {

		PLAIN, PLAIN_STREAM, GENERATION, GATHERED;

		boolean generates() {
			return this == GENERATION || this == GATHERED;
		}

		boolean stream() {
			return this == PLAIN_STREAM || this == GENERATION;
		}

	}

	/**
	 * What a call got.
	 *
	 * @param kind how it ended
	 * @param body the beginning of the body
	 */
	record Answer(CallEnd.Kind kind, String body) {
	}

}
