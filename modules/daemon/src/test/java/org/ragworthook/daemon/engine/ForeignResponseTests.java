package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.wire.message.Run;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a call takes no response for its own that belongs to another request or is
 * not whole.
 */
class ForeignResponseTests {

	private static final int WAIT_SECONDS = 10;

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

	private static final int PIECE_BYTES = 20;

	private static Vertx vertx;

	@BeforeAll
	static void start() {
		vertx = Vertx.vertx();
	}

	@AfterAll
	static void stop() {
		vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private static Answer call(UpstreamClient client, Kind kind, String prompt) {
		Run run = Run.newBuilder()
			.setMethod("POST")
			.setPath((kind == Kind.PLAIN || kind == Kind.PLAIN_STREAM) ? "/book" : "/v1/completions")
			.setStream(kind != Kind.PLAIN && kind != Kind.GATHERED)
			.setBody(ByteString
				.copyFromUtf8("{\"prompt\":\"" + prompt + "\"" + ((kind == Kind.PASSED_THROUGH) ? ",\"n\":2}" : "}")))
			.build();
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		StringBuilder body = new StringBuilder();
		List<Integer> statuses = new ArrayList<>();
		vertx.getOrCreateContext().runOnContext((ignored) -> client.start(run, new CallListener() {

			@Override
			public void output(CallOutput piece) {
				body.append(new String(piece.body(), StandardCharsets.UTF_8));
				statuses.add(piece.status());
			}

			@Override
			public void ended(CallEnd end) {
				answer.complete(new Answer(end, statuses.isEmpty() ? 0 : statuses.get(0), body.toString()));
			}

		}));
		return answer.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
	}

	/** Returns the word that is the answer to a request. */
	private static String word(String body) {
		return body.replaceAll(".*\"prompt\":\"([a-z0-9]*)\".*", "answer-to-$1");
	}

	private static String content(Kind kind, String word) {
		return switch (kind) {
			case PLAIN, PLAIN_STREAM -> "{\"text\":\"" + word + "\"}";
			default -> "data: {\"choices\":[{\"text\":\"" + word + "\"}]}\n\n"
					+ "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
		};
	}

	private static String response(int status, Kind kind, Framing framing, String word) {
		String type = (kind == Kind.PLAIN || kind == Kind.PLAIN_STREAM || status != 200) ? "application/json"
				: "text/event-stream";
		return "HTTP/1.1 " + status + " Scripted\r\nContent-Type: " + type + "\r\nX-Request-Id: " + word + "\r\n"
				+ framing.rest(content(kind, word));
	}

	/**
	 * Guards against a caller that gets the answer to an earlier request, because the
	 * engine answered that one twice.
	 */
	@ParameterizedTest
	@MethodSource("secondResponses")
	void shouldNotTakeASecondResponseForItsOwn(Kind kind, Framing framing, Time time) throws IOException {
		ScriptedServer.Script script = (request) -> {
			String own = response(200, kind, framing, word(request.body()));
			if (time == Time.WITH_THE_FIRST && request.before().isEmpty()) {
				request.send(own + own);
				return true;
			}
			if (time == Time.WITH_THE_NEXT && !request.before().isEmpty()) {
				request.send(response(200, kind, framing, word(request.before().get().body())));
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
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(vertx, engine.url(), 1)) {
			List<String> wrong = new ArrayList<>();
			for (int call = 0; call < 4; call++) {
				Answer answer = call(client, kind, "p" + call);
				if (!answer.failed() && !answer.body.contains("answer-to-p" + call)) {
					wrong.add("call " + call + " got " + answer);
				}
				if (time == Time.IDLE) {
					LockSupport.parkNanos(2 * PAUSE_NANOS);
				}
			}
			assertThat(wrong).isEmpty();
		}
	}

	static List<Arguments> secondResponses() {
		List<Arguments> cases = new ArrayList<>();
		for (Kind kind : Kind.values()) {
			for (Time time : Time.values()) {
				cases.add(Arguments.of(kind, Framing.LENGTH, time));
				cases.add(Arguments.of(kind, Framing.CHUNKED, time));
			}
		}
		return cases;
	}

	/**
	 * Guards against an answer that is joined from a part of a second response and the
	 * response to the present request.
	 */
	@ParameterizedTest
	@MethodSource("joinedParts")
	void shouldNotJoinAPartOfASecondResponse(Kind kind, int second, int present) throws IOException {
		int length = response(second, kind, Framing.LENGTH, "answer-to-p0000").length();
		int[] place = new int[1];
		ScriptedServer.Script script = (request) -> {
			if (request.before().isEmpty()) {
				request.send(response(request.body().contains("own") ? present : 200, kind, Framing.LENGTH,
						word(request.body())));
				return true;
			}
			request
				.send(response(second, kind, Framing.LENGTH, word(request.before().get().body())).substring(0, place[0])
						+ response(present, kind, Framing.LENGTH, word(request.body())));
			return false;
		};
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(vertx, engine.url(), 1)) {
			List<String> wrong = new ArrayList<>();
			for (int at = 1; at < length; at++) {
				place[0] = at;
				call(client, kind, "p%04d".formatted(at));
				Answer answer = call(client, kind, "own%04d".formatted(at));
				if (!answer.failed() && !answer.isOwn(present, "answer-to-own%04d".formatted(at))) {
					wrong.add("cut after " + at + " bytes: " + answer);
				}
			}
			assertThat(wrong).isEmpty();
		}
	}

	/**
	 * Guards against a status and headers of one response before the body of another, if
	 * an engine sends both in reply to one request.
	 */
	@ParameterizedTest
	@MethodSource("joinedParts")
	void shouldNotJoinTwoHeads(Kind kind, int first, int second) throws IOException {
		String cut = response(first, kind, Framing.LENGTH, "answer-to-a");
		int head = cut.indexOf("\r\n\r\n") + 4;
		int[] place = new int[1];
		ScriptedServer.Script script = (request) -> {
			request.send(cut.substring(0, place[0]) + response(second, kind, Framing.CHUNKED, word(request.body())));
			return false;
		};
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(vertx, engine.url(), 1)) {
			List<String> wrong = new ArrayList<>();
			for (int at = 1; at < head; at++) {
				place[0] = at;
				Answer answer = call(client, kind, "a");
				if (!answer.failed() && !answer.isOwn(second, "answer-to-a")) {
					wrong.add("cut after " + at + " bytes: " + answer);
				}
			}
			assertThat(wrong).isEmpty();
		}
	}

	static List<Arguments> joinedParts() {
		List<Arguments> cases = new ArrayList<>();
		for (Kind kind : Kind.values()) {
			cases.add(Arguments.of(kind, 200, 500));
			cases.add(Arguments.of(kind, 500, 200));
		}
		return cases;
	}

	/**
	 * Guards against a response that was cut in its head or body and is taken for whole.
	 * A stream that states its end is whole without the end of the response.
	 */
	@ParameterizedTest
	@MethodSource("cuts")
	void shouldNotTakeAPartForWhole(Kind kind, Framing framing, boolean reset) throws IOException {
		String whole = response(200, kind, framing, "answer-to-a");
		int head = whole.indexOf("\r\n\r\n") + 4;
		int[] place = new int[1];
		ScriptedServer.Script script = (request) -> {
			request.send(whole.substring(0, place[0]));
			if (reset) {
				request.endWithReset();
			}
			return false;
		};
		boolean closeEnds = framing == Framing.CLOSE && !reset && (kind == Kind.PLAIN || kind == Kind.PLAIN_STREAM);
		int end = closeEnds ? head : whole.length();
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(vertx, engine.url(), 1)) {
			List<String> wrong = IntStream.range(0, end).mapToObj((at) -> {
				place[0] = at;
				Answer answer = call(client, kind, "a");
				boolean stated = kind.states(whole.substring(0, at));
				return (answer.failed() || stated) ? "" : "cut after " + at + " bytes: " + answer;
			}).filter((text) -> !text.isEmpty()).toList();
			assertThat(wrong).isEmpty();
		}
	}

	static List<Arguments> cuts() {
		List<Arguments> cases = new ArrayList<>();
		for (Kind kind : Kind.values()) {
			for (Framing framing : List.of(Framing.LENGTH, Framing.TRAILER, Framing.CLOSE)) {
				cases.add(Arguments.of(kind, framing, false));
				if (kind == Kind.PLAIN || kind == Kind.GENERATION) {
					cases.add(Arguments.of(kind, framing, true));
				}
			}
		}
		return cases;
	}

	/** Guards against a test that passes because every call fails. */
	@ParameterizedTest
	@EnumSource
	void shouldTakeAWholeResponse(Kind kind) throws IOException {
		ScriptedServer.Script script = (request) -> {
			request.send(response(200, kind, Framing.LENGTH, word(request.body())));
			return true;
		};
		try (ScriptedServer engine = ScriptedServer.start(script);
				UpstreamClient client = UpstreamClient.of(vertx, engine.url(), 1)) {
			for (int call = 0; call < 3; call++) {
				assertThat(call(client, kind, "p" + call).isOwn(200, "answer-to-p" + call)).isTrue();
			}
		}
	}

	/**
	 * When a second response comes.
	 */
	enum Time {

		/** In one write with the first one. */
		WITH_THE_FIRST,

		/** While the connection is idle. */
		IDLE,

		/** Beginning while the connection is idle, and going on during the next call. */
		IN_PIECES,

		/** Before the response to the next request. */
		WITH_THE_NEXT

	}

	/**
	 * The requests that differ in who states the end of their answers.
	 */
	enum Kind {

		PLAIN, PLAIN_STREAM, GENERATION, GATHERED, PASSED_THROUGH;

		/** Returns whether a part of a response states the end of the answer. */
		boolean states(String part) {
			return this != PLAIN && this != PLAIN_STREAM
					&& part.contains((this == PASSED_THROUGH) ? "[DONE]" : "finish_reason\":\"stop\"}]}\n");
		}

	}

	/**
	 * How a response is delimited.
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

	/**
	 * What a call got.
	 *
	 * @param end how it ended
	 * @param status the status, or 0 without one
	 * @param body the body
	 */
	private record Answer(CallEnd end, int status, String body) {

		boolean failed() {
			return this.end.kind() != CallEnd.Kind.ANSWERED;
		}

		boolean isOwn(int expected, String word) {
			return !failed() && this.status == expected && this.body.contains(word);
		}

	}

}
