package org.ragworthook.daemon.objects;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.Stored;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.objectapi.HttpObjectStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that {@link HttpObjectStore} takes no answer for that of a call that belongs to
 * another call or is not whole.
 */
class ForeignAnswerTests {

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

	private static final int PIECE_BYTES = 40;

	private static Vertx vertx;

	@BeforeAll
	static void start() {
		vertx = Vertx.vertx();
	}

	@AfterAll
	static void stop() {
		vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private static HttpObjectStore client(ScriptedServer server) {
		return HttpObjectStore.of(vertx, StoreCall.settings(server, CALL_TIMEOUT));
	}

	private static String response(int status, Framing framing, String body) {
		return "HTTP/1.1 " + status + " Scripted\r\nContent-Type: application/json\r\n" + framing.rest(body);
	}

	/**
	 * Guards against an old version of an object that is read as the present one, because
	 * the answer to an earlier call came a second time.
	 */
	@ParameterizedTest
	@MethodSource("secondAnswers")
	void shouldNotTakeASecondAnswerForThePresentOne(Framing framing, Time time) throws IOException {
		long[] version = new long[1];
		ScriptedServer.Script script = (request) -> {
			String own = response(200, framing, StoreCall.document(version[0]));
			if (time == Time.WITH_THE_FIRST && request.before().isEmpty()) {
				request.send(own + own);
				return true;
			}
			if (time == Time.WITH_THE_NEXT && request.before().isPresent()) {
				request.send(response(200, framing, StoreCall.document(version[0] - 1)));
			}
			request.send(own);
			if (request.before().isEmpty() && (time == Time.IDLE || time == Time.IN_PIECES)) {
				int piece = (time == Time.IDLE) ? own.length() : PIECE_BYTES;
				for (int at = 0; at < own.length(); at += piece) {
					LockSupport.parkNanos(PAUSE_NANOS);
					request.send(own.substring(at, Math.min(own.length(), at + piece)));
				}
			}
			return true;
		};
		try (ScriptedServer server = ScriptedServer.start(script); HttpObjectStore store = client(server)) {
			List<String> wrong = new ArrayList<>();
			for (int call = 1; call <= 4; call++) {
				version[0] = call;
				CompletableFuture<Optional<Stored>> read = store.read(StoreCall.KEY);
				if (StoreCall.failure(read).isEmpty() && read.join().orElseThrow().version() != call) {
					wrong.add("call " + call + " got version " + read.join().get().version());
				}
				if (time == Time.IDLE) {
					LockSupport.parkNanos(2 * PAUSE_NANOS);
				}
			}
			assertThat(wrong).isEmpty();
		}
	}

	static Stream<Arguments> secondAnswers() {
		return Stream.of(Time.values())
			.flatMap(
					(time) -> Stream.of(Framing.LENGTH, Framing.CHUNKED).map((framing) -> Arguments.of(framing, time)));
	}

	/**
	 * Guards against bytes on an idle connection that are found by the next call: the
	 * connection has to be closed.
	 */
	@ParameterizedTest
	@EnumSource(names = { "LENGTH", "CHUNKED" })
	void shouldCloseAnIdleConnectionThatReceivesBytes(Framing framing) throws IOException {
		ScriptedServer.Script script = (request) -> {
			request.send(response(200, framing, StoreCall.document(1)));
			LockSupport.parkNanos(PAUSE_NANOS);
			request.send("HTTP/1.1 2");
			return true;
		};
		try (ScriptedServer server = ScriptedServer.start(script); HttpObjectStore store = client(server)) {
			assertThat(StoreCall.failure(store.read(StoreCall.KEY))).isEqualTo(Optional.empty());
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
			while (server.openConnections() > 0 && System.nanoTime() - end < 0) {
				LockSupport.parkNanos(PAUSE_NANOS);
			}
			assertThat(server.openConnections()).isEqualTo(0);
		}
	}

	/**
	 * Guards against a status of one answer before the body of another: a write that was
	 * refused would count as done.
	 */
	@ParameterizedTest
	@EnumSource
	void shouldNotJoinTwoHeads(StoreCall call) throws IOException {
		String cut = response(200, Framing.LENGTH, call.body());
		int head = cut.indexOf("\r\n\r\n") + 4;
		int[] place = new int[1];
		ScriptedServer.Script script = (request) -> {
			request.send(cut.substring(0, place[0]) + response(500, Framing.CHUNKED, call.body()));
			return false;
		};
		try (ScriptedServer server = ScriptedServer.start(script); HttpObjectStore store = client(server)) {
			List<Integer> wrong = IntStream.range(1, head).filter((at) -> {
				place[0] = at;
				return StoreCall.failure(call.start(store)).isEmpty();
			}).boxed().toList();
			assertThat(wrong).isEmpty();
		}
	}

	/** Guards against a part of an answer that is taken for a whole one. */
	@ParameterizedTest
	@MethodSource("cuts")
	void shouldNotTakeAPartForWhole(StoreCall call, Framing framing, boolean reset) throws IOException {
		String whole = response(200, framing, call.body());
		int[] place = new int[1];
		ScriptedServer.Script script = (request) -> {
			request.send(whole.substring(0, place[0]));
			if (reset && place[0] < whole.length()) {
				request.endWithReset();
			}
			return false;
		};
		try (ScriptedServer server = ScriptedServer.start(script); HttpObjectStore store = client(server)) {
			List<String> wrong = new ArrayList<>();
			for (int at = 0; at < whole.length(); at++) {
				place[0] = at;
				Optional<ErrorCode> got = StoreCall.failure(call.start(store));
				if (got.isEmpty()) {
					wrong.add("cut after " + at);
				}
			}
			assertThat(wrong).isEmpty();
			place[0] = whole.length();
			assertThat(StoreCall.failure(call.start(store))).isEqualTo(Optional.empty());
		}
	}

	static Stream<Arguments> cuts() {
		return Stream.of(StoreCall.values())
			.flatMap((call) -> Stream.of(Framing.LENGTH, Framing.TRAILER, Framing.CLOSE)
				.flatMap((framing) -> Stream.of(false, true)
					.filter((reset) -> !reset || call == StoreCall.CREATE)
					.map((reset) -> Arguments.of(call, framing, reset))));
	}

	/**
	 * When a second answer comes.
	 */
	enum Time {

		/** In one write with the first one. */
		WITH_THE_FIRST,

		/** While the connection is idle. */
		IDLE,

		/** Beginning while the connection is idle, and going on during the next call. */
		IN_PIECES,

		/** Before the answer to the next call. */
		WITH_THE_NEXT

	}

	/**
	 * How an answer is delimited.
	 */
	enum Framing {

		LENGTH, CHUNKED, TRAILER, CLOSE;

		String rest(String body) {
			String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n";
			return switch (this) {
				case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n" + body;
				case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n";
				case TRAILER -> "Transfer-Encoding: chunked\r\n\r\n" + chunk + "X-Check: sum\r\n\r\n";
				case CLOSE -> "\r\n" + body;
			};
		}

	}

}
