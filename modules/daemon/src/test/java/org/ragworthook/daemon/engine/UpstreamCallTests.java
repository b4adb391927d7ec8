package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragworthook.wire.message.Run;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a call takes an answer for whole only if the upstream has stated its end.
 */
class UpstreamCallTests {

	private static final int WAIT_SECONDS = 10;

	private final Vertx vertx = Vertx.vertx();

	private ServerSocket server;

	private UpstreamClient client;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0);
		this.client = UpstreamClient.of(this.vertx, "http://127.0.0.1:" + this.server.getLocalPort(), 4);
	}

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.server.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private CompletableFuture<CallEnd> call(Run run, CompletableFuture<Void> firstOutput) {
		CompletableFuture<CallEnd> end = new CompletableFuture<>();
		this.vertx.getOrCreateContext().runOnContext((ignored) -> this.client.start(run, new CallListener() {

			@Override
			public void output(CallOutput piece) {
				firstOutput.complete(null);
			}

			@Override
			public void ended(CallEnd ended) {
				end.complete(ended);
			}

		}));
		return end;
	}

	private static Run run(Request request) {
		return Run.newBuilder()
			.setMethod("POST")
			.setPath((request == Request.PLAIN) ? "/book" : "/v1/completions")
			.setStream(request == Request.GENERATION || request == Request.PASSED_THROUGH)
			.setBody(ByteString.copyFromUtf8(
					(request == Request.PASSED_THROUGH) ? "{\"prompt\":\"p\",\"n\":2}" : "{\"prompt\":\"p\"}"))
			.build();
	}

	private Socket accept() throws IOException {
		Socket socket = this.server.accept();
		InputStream in = socket.getInputStream();
		StringBuilder request = new StringBuilder();
		while (request.indexOf("\r\n\r\n") < 0 || !request.toString().endsWith("}")) {
			request.append((char) in.read());
		}
		return socket;
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String event(Request request) {
		return (request == Request.PLAIN) ? "{\"half\":" : "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
	}

	private static CallEnd await(CompletableFuture<CallEnd> end) {
		return end.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
	}

	/**
	 * The connection ends in the middle of an answer.
	 */
	@ParameterizedTest
	@CsvSource({ "PLAIN, LENGTH, false", "PLAIN, LENGTH, true", "PLAIN, CHUNKED, false", "PLAIN, CHUNKED, true",
			"PLAIN, CONNECTION, true", "GENERATION, LENGTH, false", "GENERATION, LENGTH, true",
			"GENERATION, CHUNKED, false", "GENERATION, CHUNKED, true", "GENERATION, CONNECTION, false",
			"GENERATION, CONNECTION, true", "PASSED_THROUGH, CHUNKED, false", "PASSED_THROUGH, CONNECTION, false",
			"PASSED_THROUGH, CONNECTION, true" })
	void shouldReportPartAsBroken(Request request, Framing framing, boolean reset) throws IOException {
		CompletableFuture<Void> firstOutput = new CompletableFuture<>();
		CompletableFuture<CallEnd> end = call(run(request), firstOutput);
		try (Socket socket = accept()) {
			write(socket, framing.part(event(request)));
			if (request != Request.PLAIN) {
				firstOutput.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
			}
			if (reset) {
				socket.setSoLinger(true, 0);
			}
		}
		assertThat(await(end).kind()).isEqualTo(CallEnd.Kind.BROKEN);
	}

	/**
	 * The client is closed, as when the process stops, in the middle of an answer.
	 */
	@ParameterizedTest
	@EnumSource(Framing.class)
	void shouldNotTakeOwnCloseForEnd(Framing framing) throws IOException {
		CompletableFuture<Void> firstOutput = new CompletableFuture<>();
		CompletableFuture<CallEnd> end = call(run(Request.PASSED_THROUGH), firstOutput);
		try (Socket socket = accept()) {
			write(socket, framing.part(event(Request.PASSED_THROUGH)));
			firstOutput.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
			this.client.close();
			assertThat(await(end).kind()).isEqualTo(CallEnd.Kind.BROKEN);
		}
	}

	/**
	 * The connection breaks between the last event and the end of the response. Resumed,
	 * an engine would generate beyond the end.
	 */
	@ParameterizedTest
	@CsvSource({ "GENERATION, '[DONE]'", "GATHERED, '[DONE]'", "GENERATION, '{\"choices\":[],\"usage\":{}}'",
			"PASSED_THROUGH, '[DONE]'" })
	void shouldTakeAnswerForWholeWithoutEndOfResponse(Request request, String last) throws IOException {
		CompletableFuture<CallEnd> end = call(run(request), new CompletableFuture<>());
		try (Socket socket = accept()) {
			write(socket, Framing.CHUNKED.part(event(request)));
			write(socket, Framing.chunk("data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"));
			write(socket, Framing.chunk("data: " + last + "\n\n"));
		}
		assertThat(await(end).kind()).isEqualTo(CallEnd.Kind.ANSWERED);
	}

	/**
	 * The engine ends its response in order, but has not stated that the answer is whole.
	 */
	@ParameterizedTest
	@CsvSource({ "GENERATION, ''", "GENERATION, 'data: [DONE]\n\n'",
			"GENERATION, 'data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"abort\"}]}\n\ndata: [DONE]\n\n'",
			"GENERATION, 'data: {\"error\":{\"message\":\"failed\"}}\n\ndata: [DONE]\n\n'", "PASSED_THROUGH, ''" })
	void shouldReportUnfinishedAnswerAsBroken(Request request, String rest) throws IOException {
		CompletableFuture<CallEnd> end = call(run(request), new CompletableFuture<>());
		try (Socket socket = accept()) {
			write(socket, Framing.CHUNKED.part(event(request)));
			write(socket, rest.isEmpty() ? "" : Framing.chunk(rest));
			write(socket, "0\r\n\r\n");
			assertThat(await(end).kind()).isEqualTo(CallEnd.Kind.BROKEN);
		}
	}

	/**
	 * The requests that differ in who states the end of their answers.
	 */
	enum Request {

		/** A call to a plain service. */
		PLAIN,

		/** A stream that is read event by event. */
		GENERATION,

		/** A stream whose answer is given to the caller in one piece. */
		GATHERED,

		/** A stream that is passed on as it is. */
		PASSED_THROUGH

	}

	/**
	 * How a response states its end.
	 */
	enum Framing {

		/** By its length. */
		LENGTH,

		/** By its last chunk. */
		CHUNKED,

		/** By the end of the connection. */
		CONNECTION;

		String part(String body) {
			String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
			return switch (this) {
				case LENGTH -> head + "Content-Length: 1000\r\n\r\n" + body;
				case CHUNKED -> head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body);
				case CONNECTION -> head + "\r\n" + body;
			};
		}

		static String chunk(String body) {
			return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
		}

	}

}
