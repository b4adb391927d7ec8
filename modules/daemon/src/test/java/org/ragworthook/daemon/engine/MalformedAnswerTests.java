package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragworthook.daemon.engine.EngineCalls.Kind;
import org.ragworthook.daemon.fake.ChunkedBodies;
import org.ragworthook.daemon.fake.ScriptedServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a call takes no bytes for the answer of its engine that are none.
 */
class MalformedAnswerTests {

	private static EngineCalls calls;

	@BeforeAll
	static void start() {
		calls = new EngineCalls();
	}

	@AfterAll
	static void stop() {
		calls.close();
	}

	private static String body(Kind kind) {
		return kind.generates()
				? "data: {\"choices\":[{\"text\":\"word\"}]}\n\n"
						+ "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
				: "{\"text\":\"word\"}";
	}

	private static String typed(Kind kind, String head) {
		String type = kind.generates() ? "text/event-stream" : "application/json";
		return head + "\r\nContent-Type: " + type + "\r\n";
	}

	private static String whole(Kind kind, String head) {
		String body = body(kind);
		return typed(kind, head) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String chunked(Kind kind, String format) {
		return typed(kind, "HTTP/1.1 200 OK") + ChunkedBodies.of(format, body(kind));
	}

	private static ScriptedServer.Script byteByByte(String response) {
		return (request) -> {
			for (int at = 0; at < response.length(); at++) {
				request.send(response.substring(at, at + 1));
			}
			return true;
		};
	}

	private static void assertTaken(Kind kind, String response) throws IOException {
		try (ScriptedServer engine = ScriptedServer.start(byteByByte(response))) {
			EngineCalls.Answer answer = calls.call(engine.url(), kind, "a");
			assertThat(answer.kind()).isEqualTo(CallEnd.Kind.ANSWERED);
			assertThat(answer.body()).contains("word");
		}
	}

	/**
	 * Guards against an answer whose status does not exist, or in whose head a name holds
	 * a blank or a control byte.
	 */
	@ParameterizedTest
	@MethodSource("malformedHeads")
	void shouldNotTakeAMalformedHead(Kind kind, String head) throws IOException {
		ScriptedServer.Script script = (request) -> {
			request.send(whole(kind, head));
			return true;
		};
		try (ScriptedServer engine = ScriptedServer.start(script)) {
			assertThat(calls.call(engine.url(), kind, "a")).isEqualTo(new EngineCalls.Answer(CallEnd.Kind.BROKEN, ""));
		}
	}

	static Stream<Arguments> malformedHeads() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> Stream
				.of("HTTP/1.1 000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK",
						"\u0000HTTP/1.1 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\u0001K",
						"HTTP/1.1 200 OK\r\nX-No te: 1", "HTTP/1.1 200 OK\r\nX-Note : 1",
						"HTTP/1.1 200 OK\r\nX-No\tte: 1", "HTTP/1.1 200 OK\r\nX-No\u0000te: 1",
						"HTTP/1.1 200 OK\r\nX-No\u0001te: 1", "HTTP/1.1 200 OK\r\n X-Note: 1",
						"HTTP/1.1 200 OK\r\nContent-Length old: 4", "HTTP/1.1 200 OK\r\nnote",
						"HTTP/1.1 200 OK\r\nX-Note: a\u0001b", "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK",
						"HTTP/1.1 100 Continue\r\nX-No te: 1\r\n\r\nHTTP/1.1 200 OK",
						"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip")
				.map((head) -> Arguments.of(kind, head)));
	}

	/** Guards against a limit on sound answers that are unusual. */
	@ParameterizedTest
	@MethodSource("unusualHeads")
	void shouldTakeAnUnusualHead(Kind kind, String head) throws IOException {
		assertTaken(kind, whole(kind, head));
	}

	static Stream<Arguments> unusualHeads() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> Stream
				.of("HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK",
						"HTTP/1.1 200 it went\twell: \u00e9", "HTTP/1.1 200 OK\r\nX-Note:",
						"HTTP/1.1 200 OK\r\nX-Note:\ta b \t", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \u00e9",
						"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK",
						"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 ?\r\nX-Note: a\r\n\r\nHTTP/1.1 200 OK")
				.map((head) -> Arguments.of(kind, head)));
	}

	/**
	 * Guards against bytes between or behind chunks that belong to none, in an answer
	 * that counts as whole. What was received before them may have been passed on.
	 */
	@ParameterizedTest
	@MethodSource("malformedChunks")
	void shouldNotTakeMalformedChunks(Kind kind, String format, boolean inOnePiece) throws IOException {
		String response = chunked(kind, format);
		ScriptedServer.Script whole = (request) -> {
			request.send(response);
			return true;
		};
		try (ScriptedServer engine = ScriptedServer.start(inOnePiece ? whole : byteByByte(response))) {
			assertThat(calls.call(engine.url(), kind, "a").kind()).isEqualTo(CallEnd.Kind.BROKEN);
		}
	}

	/**
	 * Returns malformed chunks. A generation whose last event has come is whole, whatever
	 * comes behind it.
	 * @return the kinds of requests, the formats, and whether one write sends all
	 */
	static Stream<Arguments> malformedChunks() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> Stream
				.concat(ChunkedBodies.MALFORMED_BEFORE_DATA.stream(),
						ChunkedBodies.MALFORMED_BEHIND_DATA.stream().filter((format) -> !kind.generates()))
				.flatMap((format) -> Stream.of(Arguments.of(kind, format, true), Arguments.of(kind, format, false))));
	}

	/** Guards against a limit on sound chunks that are unusual. */
	@ParameterizedTest
	@MethodSource("unusualChunks")
	void shouldTakeUnusualChunks(Kind kind, String format) throws IOException {
		assertTaken(kind, chunked(kind, format));
	}

	static Stream<Arguments> unusualChunks() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> ChunkedBodies.UNUSUAL.stream().map((format) -> Arguments.of(kind, format)));
	}

}
