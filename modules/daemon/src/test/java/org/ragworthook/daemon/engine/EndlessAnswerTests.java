package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.daemon.engine.EngineCalls.Kind;
import org.ragworthook.daemon.fake.ScriptedServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a call ends whose engine sends bytes without end, before they take up the
 * memory of the process.
 */
class EndlessAnswerTests {

	private static final int EVENTS_WITHOUT_TEXT = 10_000;

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

	private static EngineCalls calls;

	@BeforeAll
	static void start() {
		calls = new EngineCalls();
	}

	@AfterAll
	static void stop() {
		calls.close();
	}

	/**
	 * Guards against an answer without end that is kept until the process runs out of
	 * memory, and against a call that takes no end.
	 */
	@ParameterizedTest
	@EnumSource
	void shouldEndAnAnswerWithoutEnd(Endless endless) throws IOException {
		AtomicLong sent = new AtomicLong();
		ScriptedServer.Script script = (request) -> {
			request.send(endless.first);
			request.sendWithoutEnd(endless.repeated, sent);
			return false;
		};
		try (ScriptedServer engine = ScriptedServer.start(script)) {
			assertThat(calls.call(engine.url(), endless.kind, "a").kind()).isEqualTo(CallEnd.Kind.BROKEN);
			assertThat(sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

	/** Guards against a limit that sound answers exceed. */
	@ParameterizedTest
	@ValueSource(ints = { 1_000_000, 20_000_000 })
	void shouldTakeALongAnswer(int length) throws IOException {
		ScriptedServer.Script script = (request) -> {
			request.send("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + "x".repeat(length));
			return false;
		};
		try (ScriptedServer engine = ScriptedServer.start(script)) {
			assertThat(calls.call(engine.url(), Kind.PLAIN, "a").kind()).isEqualTo(CallEnd.Kind.ANSWERED);
		}
	}

	/**
	 * Guards against a limit that engines exceed which reason at length before a text.
	 */
	@ParameterizedTest
	@EnumSource(names = { "GENERATION", "GATHERED" })
	void shouldTakeALongAnswerWhoseTextComesLate(Kind kind) throws IOException {
		String event = "data: {\"choices\":[{\"text\":\"\",\"reasoning\":\"" + "x".repeat(1_000) + "\"}]}\n\n";
		ScriptedServer.Script script = (request) -> {
			request.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
			for (int i = 0; i < EVENTS_WITHOUT_TEXT; i++) {
				request.send(event);
			}
			request.send("data: {\"choices\":[{\"text\":\"word\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n");
			return false;
		};
		try (ScriptedServer engine = ScriptedServer.start(script)) {
			assertThat(calls.call(engine.url(), kind, "a").kind()).isEqualTo(CallEnd.Kind.ANSWERED);
		}
	}

	/** Where the bytes without end are. */
	enum Endless {

		EMPTY_LINES(Kind.PLAIN, "", "\r\n"),

		STATUS_LINE(Kind.PLAIN, "HTTP/1.1 200 ", "x"),

		HEADERS(Kind.PLAIN, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n"),

		INTERIM_RESPONSES(Kind.PLAIN, "", "HTTP/1.1 102 Processing\r\n\r\n"),

		BODY(Kind.PLAIN, "HTTP/1.1 200 OK\r\n\r\n", "x"),

		CHUNKS(Kind.PLAIN, "HTTP/1.1 200 OK\r\n" + CHUNKED, "10\r\nxxxxxxxxxxxxxxxx\r\n"),

		CHUNK_EXTENSION(Kind.PLAIN, "HTTP/1.1 200 OK\r\n" + CHUNKED + "1;", "x"),

		TRAILERS(Kind.PLAIN, "HTTP/1.1 200 OK\r\n" + CHUNKED + "0\r\n", "X-More: x\r\n"),

		FAILURE_OF_A_STREAM(Kind.PLAIN_STREAM, "HTTP/1.1 500 Failed\r\n\r\n", "x"),

		FAILURE_OF_A_GENERATION(Kind.GENERATION, "HTTP/1.1 500 Failed\r\n\r\n", "x"),

		LINE(Kind.GENERATION, "HTTP/1.1 200 OK\r\n\r\ndata: ", "x"),

		COMMENTS(Kind.GENERATION, "HTTP/1.1 200 OK\r\n\r\n", ": comment\n\n"),

		EVENTS_WITHOUT_TEXT(Kind.GENERATION, "HTTP/1.1 200 OK\r\n\r\n", "data: {\"choices\":[{\"text\":\"\"}]}\n\n"),

		TEXT(Kind.GATHERED, "HTTP/1.1 200 OK\r\n\r\n",
				"data: {\"choices\":[{\"text\":\"" + "x".repeat(4_000) + "\"}]}\n\n");

		private final Kind kind;

		private final String first;

		private final String repeated;

		Endless(Kind kind, String first, String repeated) {
			this.kind = kind;
			this.first = first;
			this.repeated = repeated;
		}

	}

}
