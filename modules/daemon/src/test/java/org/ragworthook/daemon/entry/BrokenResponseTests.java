package org.ragworthook.daemon.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.daemon.fake.Caller;
import org.ragworthook.daemon.fake.FakeCall;
import org.ragworthook.daemon.fake.FakeUpstream;
import org.ragworthook.daemon.fake.RawCaller;
import org.ragworthook.wire.link.LinkOptions;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a response whose answer is not whole never looks whole to its caller.
 */
class BrokenResponseTests {

	private static final String BODY = "{\"model\":\"m\",\"stream\":true,"
			+ "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]%s}";

	private final TestFleet fleet = new TestFleet(LinkOptions.of());

	private final TestFleet.TestEntry entry = this.fleet.entry();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private RawCaller stream(String version) {
		return stream(version, "");
	}

	private RawCaller stream(String version, String more) {
		return RawCaller.send(this.entry.port(), Caller.KEY, version, "POST", "/v1/chat/completions",
				BODY.formatted(more));
	}

	/**
	 * The engine that goes on after a crash answers with an error, which must not be
	 * joined to the events.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 400, 404, 422, 429, 500, 503, 504 })
	void shouldBreakOffWhenContinuationIsRefused(int status) {
		FakeUpstream first = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream("1.1")) {
			FakeCall interrupted = first.next().greet().tokens("a", "b");
			FakeUpstream second = this.fleet.listedUpstream("desk", 4);
			second.answerEach((call) -> call.answer(status, "{\"error\":\"words of the engine\"}"));
			interrupted.breakOff();
			first.crash();
			RawCaller.Received received = caller.await();
			assertThat(received.text()).contains("\"a\"");
			assertThat(received.text()).doesNotContain("words of the engine");
			assertThat(received.whole()).isFalse();
		}
	}

	/**
	 * The engine that goes on after a crash fails once; another one completes the answer.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 404, 429, 500, 503 })
	void shouldContinueElsewhereWhenContinuationIsRefused(int status) {
		FakeUpstream first = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream("1.1")) {
			FakeCall interrupted = first.next().greet().tokens("a");
			FakeUpstream second = this.fleet.listedUpstream("desk", 4);
			interrupted.breakOff();
			first.crash();
			FakeCall refused = second.next();
			FakeUpstream third = this.fleet.listedUpstream("desk", 4);
			refused.answer(status, "{\"error\":\"words of the engine\"}");
			FakeCall resumed = third.next();
			assertThat(resumed.resumed()).isEqualTo("a");
			resumed.greet().tokens("b").finish();
			RawCaller.Received received = caller.await();
			assertThat(received.text()).doesNotContain("words of the engine");
			assertThat(received.text()).contains("[DONE]");
			assertThat(received.whole()).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "1.0", "1.1" })
	void shouldEndWholeStream(String version) {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream(version)) {
			upstream.next().greet().tokens("a").finish();
			RawCaller.Received received = caller.await();
			assertThat(received.text()).contains("[DONE]");
			assertThat(received.whole()).isTrue();
		}
	}

	/**
	 * Every attempt at a begun stream fails. Ended in order or closed, the response would
	 * look whole.
	 */
	@ParameterizedTest
	@CsvSource({ "1.0, ''", "1.1, ''", "1.0, ',\"n\":2'", "1.1, ',\"n\":2'" })
	void shouldBreakOffWhenAttemptsAreExhausted(String version, String more) {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream(version, more)) {
			upstream.next().greet().tokens("a");
			caller.awaitText("\"a\"");
			upstream.crash();
			assertThat(caller.await().whole()).isFalse();
		}
	}

	/**
	 * The deadline passes in the middle of a stream.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "1.0", "1.1" })
	void shouldBreakOffAtDeadline(String version) {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = RawCaller.send(this.entry.port(), Caller.KEY, version, "POST", "/v1/chat/completions",
				BODY.formatted(""), "X-Deadline-Millis: 1500")) {
			FakeCall call = upstream.next().greet().tokens("a");
			call.awaitClosed();
			RawCaller.Received received = caller.await();
			assertThat(received.text()).contains("\"a\"");
			assertThat(received.whole()).isFalse();
		}
	}

	/**
	 * The entry's process ends while a stream is open.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "1.0", "1.1" })
	void shouldBreakOffWhenProcessStops(String version) {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream(version)) {
			upstream.next().greet().tokens("a");
			caller.awaitText("\"a\"");
			this.entry.stopServer();
			assertThat(caller.await().whole()).isFalse();
		}
	}

	/**
	 * An engine ends its response in order without stating that the answer is whole.
	 */
	@ParameterizedTest
	@CsvSource({ "'', ''", "'', 'data: [DONE]'", "',\"n\":2', ''", "'', 'data: {\"error\":{\"message\":\"late\"}}'" })
	void shouldNotTakeEndOfResponseForEndOfAnswer(String more, String lastEvent) {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream("1.1", more)) {
			FakeCall call = upstream.next().greet().tokens("a");
			FakeUpstream second = this.fleet.listedUpstream("desk", 4);
			call.raw(lastEvent + "\n\n").endResponse();
			if (more.isEmpty()) {
				second.next().greet().tokens("b").finish();
				assertThat(caller.await().text()).contains("\"b\"");
			}
			else {
				assertThat(caller.await().whole()).isFalse();
			}
		}
	}

	/**
	 * An engine answers with an error that has no body, whose status must not be lost.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 400, 500 })
	void shouldPassOnStatusWithoutBody(int status) {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream("1.1", ",\"n\":2")) {
			upstream.next().answer(status, "");
			assertThat(caller.await().text()).startsWith("HTTP/1.1 " + status);
		}
	}

	/**
	 * A response is broken off, and the log must say why and how its last attempt ended.
	 */
	@Test
	void shouldLogCauseOfBreak() {
		List<String> lines = new CopyOnWriteArrayList<>();
		Logger logger = Logger.getLogger(OnlineExchange.class.getName());
		Handler handler = new RecordingHandler(lines);
		logger.addHandler(handler);
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		try (RawCaller caller = stream("1.1")) {
			FakeCall call = upstream.next().greet().tokens("a");
			caller.awaitText("\"a\"");
			upstream.answerEach((continuation) -> continuation.answer(500, "{}"));
			call.breakOff();
			caller.await();
		}
		finally {
			logger.removeHandler(handler);
		}
		assertThat(lines).hasSize(1);
		assertThat(lines.get(0)).contains("event=response_broken_off");
		assertThat(lines.get(0)).contains("cause=\"RWH-");
		assertThat(lines.get(0)).contains("sent=true upstream_status=500");
	}

	/**
	 * Records the messages of a log.
	 */
	private static final class RecordingHandler extends Handler {

		private final List<String> lines;

		private RecordingHandler(List<String> lines) {
			this.lines = lines;
		}

		@Override
		public void publish(LogRecord logRecord) {
			this.lines.add(logRecord.getMessage());
		}

		@Override
		public void flush() {
			// Nothing is buffered.
		}

		@Override
		public void close() {
			// Nothing is open.
		}

	}

}
