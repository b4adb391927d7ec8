package org.ragworthook.daemon.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.daemon.fake.Caller;
import org.ragworthook.daemon.fake.FakeCall;
import org.ragworthook.daemon.fake.FakeUpstream;
import org.ragworthook.daemon.fake.FrozenProxy;
import org.ragworthook.daemon.sidecar.SidecarProcess;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of online requests while something fails.
 */
class OnlineFailureTests {

	private final TestFleet fleet = new TestFleet();

	private final TestFleet.TestEntry entry = this.fleet.entry();

	private final Caller caller = this.entry.caller();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private static String masked(HttpResponse<String> answer) {
		return answer.body().replaceAll("chatcmpl-[0-9a-f]+", "ID").replaceAll("\"created\":\\d+", "\"created\":0");
	}

	private String undisturbed(FakeUpstream upstream, boolean stream) {
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", stream);
		upstream.next().greet().tokens("a", "b", "c", "d").finish();
		HttpResponse<String> whole = Caller.await(answer);
		assertThat(whole.statusCode()).isEqualTo(200);
		return masked(whole);
	}

	/**
	 * An engine dies while it answers, after any number of tokens. The caller must get
	 * the same bytes as if nothing had happened: no token missing, doubled or foreign.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 0", "true, 1", "true, 3", "false, 0", "false, 2" })
	void shouldCompleteAnswerWhoseEngineDied(boolean stream, int tokensBefore) {
		FakeUpstream first = this.fleet.served("desk", 4);
		String expected = undisturbed(first, stream);
		String[] tokens = { "a", "b", "c", "d" };
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", stream);
		FakeCall broken = first.next().greet();
		FakeUpstream second = this.fleet.served("desk", 4);
		for (int i = 0; i < tokensBefore; i++) {
			broken.tokens(tokens[i]);
		}
		first.crash();
		FakeCall resumed = second.next();
		String passedOn = resumed.resumed();
		assertThat("abcd").startsWith(passedOn);
		resumed.greet();
		for (int i = passedOn.length(); i < tokens.length; i++) {
			resumed.tokens(tokens[i]);
		}
		resumed.finish();
		assertThat(masked(Caller.await(answer))).isEqualTo(expected);
	}

	/**
	 * A sidecar is lost after it has taken a request. Its machine may vanish without a
	 * word, so that its connections look open, or close them. The answer must be resumed
	 * on another one either way.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldCompleteAnswerWhoseSidecarWasLost(boolean halfOpen) {
		FakeUpstream first = this.fleet.upstream();
		SidecarProcess sidecar = this.fleet.sidecar("desk", first, 4);
		FrozenProxy proxy = new FrozenProxy(this.fleet.vertx(), sidecar.linkAddress());
		this.fleet.list("desk", proxy.address());
		String expected = undisturbed(first, true);
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
		first.next().greet().tokens("a", "b");
		FakeUpstream second = this.fleet.served("desk", 4);
		if (halfOpen) {
			proxy.freeze();
		}
		else {
			proxy.close();
		}
		FakeCall resumed = second.next();
		resumed.greet().tokens("abcd".substring(resumed.resumed().length()).split("")).finish();
		assertThat(masked(Caller.await(answer))).isEqualTo(expected);
		proxy.close();
	}

	/**
	 * A booking is lost in each possible way. It must not be made twice, and the caller
	 * must not be told that it was not made unless that is sure.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldNotRepeatBooking(boolean passedOn) {
		FakeUpstream first = this.fleet.served("bookings", 4);
		if (!passedOn) {
			first.crash();
		}
		CompletableFuture<HttpResponse<String>> answer = this.caller.post("/services/bookings/book", "{}");
		if (passedOn) {
			FakeCall booking = first.next();
			this.fleet.served("bookings", 4);
			booking.breakOff();
		}
		HttpResponse<String> refused = Caller.await(answer);
		assertThat(Caller.error(refused))
			.isEqualTo(passedOn ? "request_outcome_unknown" : "request_not_run_no_upstream");
		assertThat(first.count()).isEqualTo(passedOn ? 1 : 0);
	}

	/**
	 * A booking reaches a sidecar whose upstream is down. Nothing was passed on, so it is
	 * made at the other upstream, once.
	 */
	@Test
	void shouldMakeBookingElsewhereIfNotPassedOn() {
		this.fleet.served("bookings", 4).crash();
		FakeUpstream second = this.fleet.served("bookings", 4);
		for (int i = 0; i < 6; i++) {
			CompletableFuture<HttpResponse<String>> answer = this.caller.post("/services/bookings/book", "{}");
			second.next().answer(201, "{}");
			assertThat(Caller.await(answer).statusCode()).isEqualTo(201);
		}
		assertThat(second.count()).isEqualTo(6);
	}

	/**
	 * A booking bears an idempotency key, and the store is out, so that the key cannot be
	 * recorded. To run it could make it twice; the caller is told that it was not run.
	 */
	@Test
	void shouldRefuseKeyedBookingWithoutRecord() {
		FakeUpstream upstream = this.fleet.served("bookings", 4);
		HttpResponse<String> refused = Caller
			.await(this.caller.post("/services/bookings/book", "{}", "Idempotency-Key", "k1"));
		assertThat(Caller.error(refused)).isEqualTo("request_not_run_no_record");
		assertThat(upstream.count()).isEqualTo(0);
	}

	/**
	 * A booking's answer is lost, and its caller sends it again, to the same entry or to
	 * another. It must not be made twice; a new booking with another key must be made.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldMakeKeyedBookingOnceAtAnyEntry(boolean ownerFirst) {
		TestFleet.TestEntry other = this.fleet.entry();
		FakeUpstream upstream = this.fleet.served("bookings", 4);
		this.entry.own();
		TestFleet.await(() -> other.peers().contains(this.entry.id()));
		Caller first = ownerFirst ? this.caller : other.caller();
		Caller second = ownerFirst ? other.caller() : this.caller;
		CompletableFuture<HttpResponse<String>> answer = first.post("/services/bookings/book", "{}", "Idempotency-Key",
				"k1");
		upstream.next().answer(201, "{}");
		assertThat(Caller.await(answer).statusCode()).isEqualTo(201);
		for (Caller again : new Caller[] { first, second }) {
			HttpResponse<String> refused = Caller
				.await(again.post("/services/bookings/book", "{}", "Idempotency-Key", "k1"));
			assertThat(Caller.error(refused)).isEqualTo("request_key_taken");
		}
		CompletableFuture<HttpResponse<String>> fresh = second.post("/services/bookings/book", "{}", "Idempotency-Key",
				"k2");
		upstream.next().answer(201, "{}");
		assertThat(Caller.await(fresh).statusCode()).isEqualTo(201);
		assertThat(upstream.count()).isEqualTo(2);
	}

	/**
	 * A caller hangs up. Its slot must be free for the next one at once.
	 */
	@Test
	void shouldFreeSlotOfCallerThatWentAway() {
		FakeUpstream upstream = this.fleet.served("desk", 1);
		CompletableFuture<HttpResponse<String>> gone = this.caller.chat("first", true);
		FakeCall abandoned = upstream.next().greet().tokens("a");
		gone.cancel(true);
		abandoned.awaitClosed();
		CompletableFuture<HttpResponse<String>> next = this.caller.chat("second", false);
		upstream.next().greet().tokens("b").finish();
		assertThat(Caller.await(next).statusCode()).isEqualTo(200);
	}

	/**
	 * A caller does not read its answer, as on a bad line. The answer must not hold the
	 * engine's slot until it is read, and must be whole when the caller does read.
	 */
	@Test
	void shouldNotHoldSlotForSlowCaller() throws IOException {
		FakeUpstream upstream = this.fleet.served("desk", 1);
		try (Socket slow = slowCaller()) {
			FakeCall call = upstream.next().greet();
			for (int i = 0; i < 40; i++) {
				call.tokens("x".repeat(100_000));
			}
			call.finish();
			CompletableFuture<HttpResponse<String>> next = this.caller.chat("next", false);
			upstream.next().greet().tokens("n").finish();
			assertThat(Caller.await(next).statusCode()).isEqualTo(200);
			String answer = new String(slow.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(answer.chars().filter((c) -> c == 'x').count()).isAtLeast(4_000_000);
			assertThat(answer).contains("[DONE]");
		}
	}

	/**
	 * A caller has stopped reading for good, and its answer goes on without end. It must
	 * be cut off before it fills the entry's memory.
	 */
	@Test
	void shouldCutOffCallerThatNeverReads() throws IOException {
		FakeUpstream upstream = this.fleet.served("desk", 1);
		try (Socket stuck = slowCaller()) {
			FakeCall call = upstream.next().greet();
			for (int i = 0; i < 40; i++) {
				call.tokens("x".repeat(1_000_000));
			}
			call.awaitClosed();
			assertThat(stuck.isClosed()).isFalse();
		}
	}

	private Socket slowCaller() throws IOException {
		String body = "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"slow\"}]}";
		Socket socket = new Socket("127.0.0.1", this.entry.port());
		socket.getOutputStream()
			.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nAuthorization: Bearer "
					+ Caller.KEY + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
					+ body)
				.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	/**
	 * An engine has crashed and refuses connections while it restarts. Refusals come
	 * quickly, so it looks like the idlest of all; callers would be told that their
	 * requests were not run although other engines could have run them.
	 */
	@Test
	void shouldKeepAwayFromEngineThatIsDownUntilItIsBack() {
		FakeUpstream good = this.fleet.served("desk", 4);
		FakeUpstream bad = this.fleet.served("desk", 4);
		TestFleet.await(() -> this.fleet.limit("desk") == 8);
		bad.crash();
		TestFleet.await(() -> {
			CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
			good.next().greet().tokens("a").finish();
			assertThat(Caller.await(answer).statusCode()).isEqualTo(200);
			return this.fleet.limit("desk") == 4;
		});
		bad.comeBack();
		TestFleet.await(() -> this.fleet.limit("desk") == 8);
	}

	/**
	 * One engine does not hold the model, as after an order to unload it. Its refusal
	 * must not reach callers while another engine holds the model.
	 */
	@Test
	void shouldGoElsewhereWhenEngineLacksModel() {
		FakeUpstream without = this.fleet.served("desk", 4);
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
		FakeCall refused = without.next();
		FakeUpstream with = this.fleet.served("desk", 4);
		refused.answer(404, "{\"error\":{\"message\":\"The model `m` does not exist.\"}}");
		with.next().greet().tokens("a").finish();
		assertThat(Caller.await(answer).statusCode()).isEqualTo(200);
	}

	/**
	 * The deadline passes while the only slot is taken by another. The request was never
	 * passed on, and its caller is told so.
	 */
	@Test
	void shouldTellThatDeadlinePassedBeforeItRan() {
		FakeUpstream upstream = this.fleet.served("desk", 1);
		CompletableFuture<HttpResponse<String>> running = this.caller.chat("first", false);
		FakeCall first = upstream.next();
		HttpResponse<String> late = Caller.await(this.caller.chat("second", false, "X-Deadline-Millis", "50"));
		assertThat(late.statusCode()).isEqualTo(504);
		first.greet().tokens("a").finish();
		assertThat(Caller.await(running).statusCode()).isEqualTo(200);
		assertThat(upstream.count()).isEqualTo(1);
	}

	@Test
	void shouldNameDependencyThatIsDown() {
		this.fleet.served("letters", 4);
		HttpResponse<String> refused = Caller.await(this.caller.post("/services/letters/write", "{}"));
		assertThat(Caller.error(refused)).isEqualTo("request_not_run_dependency");
		assertThat(refused.body()).contains("bookings");
		assertThat(refused.headers().firstValue("Retry-After").isPresent()).isTrue();
	}

	/**
	 * The list loses a sidecar that serves, for a while. Its requests must go on.
	 */
	@Test
	void shouldKeepServingWhenListFlaps() {
		FakeUpstream upstream = this.fleet.upstream();
		SidecarProcess sidecar = this.fleet.sidecar("desk", upstream, 4);
		this.fleet.list("desk", sidecar.linkAddress());
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", false);
		FakeCall running = upstream.next().greet();
		this.fleet.unlist(sidecar.linkAddress());
		this.fleet.awaitListRead();
		running.tokens("a").finish();
		assertThat(Caller.await(answer).statusCode()).isEqualTo(200);
		CompletableFuture<HttpResponse<String>> next = this.caller.chat("hello", false);
		upstream.next().greet().tokens("a").finish();
		assertThat(Caller.await(next).statusCode()).isEqualTo(200);
	}

	/**
	 * A sidecar is told to stop while it answers, and the list goes on showing it. The
	 * answer must be finished, and new requests must go elsewhere at once.
	 */
	@Test
	void shouldFinishAnswersOfSidecarThatStops() {
		FakeUpstream first = this.fleet.upstream();
		SidecarProcess sidecar = this.fleet.sidecar("desk", first, 4, Duration.ofSeconds(20));
		this.fleet.list("desk", sidecar.linkAddress());
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
		FakeCall running = first.next().greet().tokens("a");
		FakeUpstream second = this.fleet.served("desk", 4);
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(sidecar::close);
		TestFleet.await(() -> this.entry.directory().router("desk").table().size() == 1);
		for (int i = 0; i < 4; i++) {
			CompletableFuture<HttpResponse<String>> next = this.caller.chat("next " + i, false);
			second.next().greet().tokens("n").finish();
			assertThat(Caller.await(next).statusCode()).isEqualTo(200);
		}
		assertThat(stopped.isDone()).isFalse();
		running.tokens("b").finish();
		assertThat(Caller.await(answer).body()).endsWith("data: [DONE]\n\n");
		stopped.join();
		assertThat(first.count()).isEqualTo(1);
	}

	/**
	 * One request crashes each engine that runs it, and another one is beside it the
	 * first time. The one must be refused after two crashes of its own, also when its
	 * caller sends it to another entry, and the other must be answered.
	 */
	@Test
	void shouldConvictCrashingRequestAndAnswerItsNeighbour() {
		TestFleet.TestEntry other = this.fleet.entry();
		FakeUpstream upstream = this.fleet.served("desk", 4);
		CompletableFuture<HttpResponse<String>> bad = this.caller.chat("poison", false);
		FakeCall first = upstream.next();
		CompletableFuture<HttpResponse<String>> good = this.caller.chat("innocent", false);
		upstream.next();
		assertThat(first.body()).contains("poison");
		upstream.crashOnce();
		for (int i = 0; i < 3; i++) {
			FakeCall alone = upstream.next();
			if (alone.body().contains("poison")) {
				upstream.crashOnce();
			}
			else {
				alone.greet().tokens("f").finish();
			}
		}
		assertThat(Caller.error(Caller.await(bad))).isEqualTo("request_quarantined");
		assertThat(Caller.await(good).statusCode()).isEqualTo(200);
		assertThat(Caller.error(Caller.await(this.caller.chat("poison", false)))).isEqualTo("request_quarantined");
		assertThat(upstream.count()).isEqualTo(5);
		TestFleet.await(() -> !other.online().quarantine().quarantined().isEmpty());
		assertThat(Caller.error(Caller.await(other.caller().chat("poison", false)))).isEqualTo("request_quarantined");
	}

}
