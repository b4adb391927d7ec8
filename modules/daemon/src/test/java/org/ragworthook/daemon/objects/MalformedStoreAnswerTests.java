package org.ragworthook.daemon.objects;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.daemon.fake.ChunkedBodies;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.objectapi.EndpointSliceList;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.PlatformSettings;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that the clients of the platform take no bytes for an answer that are none.
 */
class MalformedStoreAnswerTests {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

	private static Vertx vertx;

	@BeforeAll
	static void start() {
		vertx = Vertx.vertx();
	}

	@AfterAll
	static void stop() {
		vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private static PlatformSettings settings(ScriptedServer server) {
		return StoreCall.settings(server, CALL_TIMEOUT);
	}

	/** Guards against a call that counts as done though it got no answer. */
	@ParameterizedTest
	@MethodSource("malformedHeads")
	void shouldNotTakeAMalformedHead(Call call, String head) throws IOException {
		ScriptedServer.Script script = (request) -> {
			request.send(head + "\r\nContent-Length: " + call.body().length() + "\r\n\r\n" + call.body());
			return true;
		};
		try (ScriptedServer server = ScriptedServer.start(script)) {
			assertThat(StoreCall.failure(call.start(server))).hasValue(call.codeOfNoAnswer());
		}
	}

	static Stream<Arguments> malformedHeads() {
		return Stream.of(Call.values())
			.flatMap((call) -> Stream
				.of("HTTP/1.1 000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 0404 OK",
						"HTTP/1.1 200 OK\r\nX-No te: 1", "HTTP/1.1 200 OK\r\nX-Note : 1",
						"HTTP/1.1 200 OK\r\nX-No\u0000te: 1", "HTTP/1.1 200 OK\r\nX-No\u0001te: 1",
						"HTTP/1.1 200 OK\r\n X-Note: 1", "HTTP/1.1 200 OK\r\nnote",
						"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip")
				.map((head) -> Arguments.of(call, head)));
	}

	/** Guards against a limit on sound answers that are unusual. */
	@ParameterizedTest
	@MethodSource("unusualHeads")
	void shouldTakeAnUnusualHead(Call call, String head) throws IOException {
		ScriptedServer.Script script = (request) -> {
			request.send(head + "\r\nContent-Length: " + call.body().length() + "\r\n\r\n" + call.body());
			return true;
		};
		try (ScriptedServer server = ScriptedServer.start(script)) {
			assertThat(StoreCall.failure(call.start(server))).isEmpty();
		}
	}

	static Stream<Arguments> unusualHeads() {
		return Stream.of(Call.values())
			.flatMap((call) -> Stream
				.of("\r\nHTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 200 it went well: \u00e9",
						"HTTP/1.1 200 OK\r\nX-Note:", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK")
				.map((head) -> Arguments.of(call, head)));
	}

	/** Guards against a call that counts as done though a part of its answer is none. */
	@ParameterizedTest
	@MethodSource("malformedChunks")
	void shouldNotTakeMalformedChunks(Call call, String format) throws IOException {
		try (ScriptedServer server = ScriptedServer.start(chunked(call, format))) {
			assertThat(StoreCall.failure(call.start(server))).hasValue(call.codeOfNoAnswer());
		}
	}

	static Stream<Arguments> malformedChunks() {
		return Stream.of(Call.values())
			.flatMap((call) -> Stream
				.concat(ChunkedBodies.MALFORMED_BEFORE_DATA.stream(), ChunkedBodies.MALFORMED_BEHIND_DATA.stream())
				.map((format) -> Arguments.of(call, format)));
	}

	/** Guards against a limit on sound chunks that are unusual. */
	@ParameterizedTest
	@MethodSource("unusualChunks")
	void shouldTakeUnusualChunks(Call call, String format) throws IOException {
		try (ScriptedServer server = ScriptedServer.start(chunked(call, format))) {
			assertThat(StoreCall.failure(call.start(server))).isEmpty();
		}
	}

	static Stream<Arguments> unusualChunks() {
		return Stream.of(Call.values())
			.flatMap((call) -> ChunkedBodies.UNUSUAL.stream().map((format) -> Arguments.of(call, format)));
	}

	private static ScriptedServer.Script chunked(Call call, String format) {
		return (request) -> {
			request.send("HTTP/1.1 200 OK\r\n" + ChunkedBodies.of(format, call.body()));
			return true;
		};
	}

	/**
	 * Guards against an answer without end that is kept until the process runs out of
	 * memory.
	 */
	@ParameterizedTest
	@EnumSource
	void shouldEndAnAnswerWithoutEnd(Call call) throws IOException {
		AtomicLong sent = new AtomicLong();
		try (ScriptedServer server = ScriptedServer.start(endless("", sent))) {
			assertThat(StoreCall.failure(call.start(server))).hasValue(call.codeOfNoAnswer());
			assertThat(sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

	/**
	 * Guards against an event without end that is kept until the process runs out of
	 * memory.
	 */
	@ParameterizedTest
	@EnumSource(names = "LIST")
	void shouldEndAWatchWhoseEventHasNoEnd(Call call) throws Exception {
		AtomicLong sent = new AtomicLong();
		CompletableFuture<Void> ended = new CompletableFuture<>();
		try (ScriptedServer server = ScriptedServer.start(endless(call.body(), sent));
				HttpObjectStore store = HttpObjectStore.of(vertx, settings(server))) {
			store.watch(Kind.JOB, Labels.empty(), 1, (event) -> {
			}, () -> ended.complete(null));
			ended.get(CALL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
			assertThat(sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

	private static ScriptedServer.Script endless(String first, AtomicLong sent) {
		return (request) -> {
			request.send("HTTP/1.1 200 OK\r\n\r\n" + first);
			request.sendWithoutEnd("x", sent);
			return false;
		};
	}

	/** The calls to the platform. */
	enum Call {

		READ(StoreCall.READ), CREATE(StoreCall.CREATE), UPDATE(StoreCall.UPDATE), DELETE(StoreCall.DELETE),
		LIST(StoreCall.LIST), INSTANCES;

		/** The call of the object API, or empty if it is one to the list of instances. */
		private final Optional<StoreCall> ofStore;

		Call(StoreCall ofStore) {
			this.ofStore = Optional.of(ofStore);
		}

		Call() {
			this.ofStore = Optional.empty();
		}

		String body() {
			return this.ofStore.map(StoreCall::body).orElse("{\"items\":[]}");
		}

		ErrorCode codeOfNoAnswer() {
			return switch (this) {
				case CREATE, UPDATE, DELETE -> ErrorCode.STORE_OUTCOME_UNKNOWN;
				default -> ErrorCode.STORE_UNAVAILABLE;
			};
		}

		CompletableFuture<?> start(ScriptedServer server) {
			if (this.ofStore.isEmpty()) {
				EndpointSliceList list = EndpointSliceList.of(vertx, settings(server));
				return list.instances().whenComplete((instances, failure) -> list.close());
			}
			HttpObjectStore store = HttpObjectStore.of(vertx, settings(server));
			return this.ofStore.get().start(store).whenComplete((result, failure) -> store.close());
		}

	}

}
