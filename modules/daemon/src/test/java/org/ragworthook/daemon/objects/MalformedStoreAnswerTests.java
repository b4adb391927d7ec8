package org.ragworthook.daemon.objects;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
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
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.Stored;
import org.ragworthook.daemon.fake.ChunkedBodies;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.objectapi.EndpointSliceList;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.ObjectDocuments;
import org.ragworthook.objectapi.PlatformSettings;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that the clients of the platform take no bytes for an answer that are none.
 */
class MalformedStoreAnswerTests {

	private static final ObjectKey KEY = ObjectKey.of(Kind.JOB, "programme-1");

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
		PlatformSettings defaults = PlatformSettings.of(new Address("127.0.0.1", server.port()));
		return new PlatformSettings(defaults.address(), defaults.namespace(), Duration.ofSeconds(5), CALL_TIMEOUT,
				defaults.watchTimeout(), 1);
	}

	private static Optional<ErrorCode> failure(CompletableFuture<?> call) {
		Throwable failure = call.handle((result, thrown) -> thrown).join();
		return Optional.ofNullable(failure).map((thrown) -> ((StoreException) Failures.root(thrown)).code());
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
			assertThat(failure(call.start(server))).hasValue(call.codeOfNoAnswer());
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
			assertThat(failure(call.start(server))).isEmpty();
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
			assertThat(failure(call.start(server))).hasValue(call.codeOfNoAnswer());
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
			assertThat(failure(call.start(server))).isEmpty();
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
			assertThat(failure(call.start(server))).hasValue(call.codeOfNoAnswer());
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

		READ, CREATE, UPDATE, DELETE, LIST, INSTANCES;

		String body() {
			return switch (this) {
				case LIST -> ObjectDocuments
					.document(Kind.JOB, new Listing(List.of(new Stored(KEY, 3, Draft.of("1", "a#1"))), 7))
					.encode();
				case INSTANCES -> "{\"items\":[]}";
				default -> ObjectDocuments.document(new Stored(KEY, 3, Draft.of("1", "a#1"))).encode();
			};
		}

		ErrorCode codeOfNoAnswer() {
			return switch (this) {
				case CREATE, UPDATE, DELETE -> ErrorCode.STORE_OUTCOME_UNKNOWN;
				default -> ErrorCode.STORE_UNAVAILABLE;
			};
		}

		CompletableFuture<?> start(ScriptedServer server) {
			if (this == INSTANCES) {
				EndpointSliceList list = EndpointSliceList.of(vertx, settings(server));
				return list.instances().whenComplete((instances, failure) -> list.close());
			}
			HttpObjectStore store = HttpObjectStore.of(vertx, settings(server));
			return start(store).whenComplete((result, failure) -> store.close());
		}

		private CompletableFuture<?> start(HttpObjectStore store) {
			return switch (this) {
				case READ -> store.read(KEY);
				case CREATE -> store.create(KEY, Draft.of("1", "a#1"));
				case UPDATE -> store.update(KEY, Draft.of("1", "a#1"), 2);
				case DELETE -> store.delete(KEY, 2);
				default -> store.list(Kind.JOB, Labels.empty());
			};
		}

	}

}
