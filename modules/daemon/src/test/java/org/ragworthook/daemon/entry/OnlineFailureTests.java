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
 * Tests of online requests during failures of engines, sidecars, callers and the
 * platform.
 */
class OnlineFailureTests {

	private final TestFleet fleet = new TestFleet();

	private final TestFleet.TestEntry entry = this.fleet.entry();

	private final Caller caller = this.entry.caller();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private static String withoutGeneratedFields(HttpResponse<String> answer) {
		return answer.body().replaceAll("chatcmpl-[0-9a-f]+", "ID").replaceAll("\"created\":\\d+", "\"created\":0");
	}

	private String bodyWithoutFailure(FakeUpstream upstream, boolean stream) {
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", stream);
		upstream.next().greet().tokens("a", "b", "c", "d").finish();
		HttpResponse<String> response = Caller.await(answer);
		assertThat(response.statusCode()).isEqualTo(200);
		return withoutGeneratedFields(response);
	}

	/**
	 * An engine crashes after it has generated any number of tokens, and the request is
	 * resumed on another engine. The caller must receive the same response as without the
	 * crash, with no token missing, repeated or added.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 0", "true, 1", "true, 3", "false, 0", "false, 2" })
	void shouldCompleteResponseAfterEngineCrash(boolean stream, int tokensBefore) {
		FakeUpstream first = this.fleet.listedUpstream("desk", 4);
		String expected = bodyWithoutFailure(first, stream);
		String[] tokens = { "a", "b", "c", "d" };
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", stream);
		FakeCall interrupted = first.next().greet();
		FakeUpstream second = this.fleet.listedUpstream("desk", 4);
		for (int i = 0; i < tokensBefore; i++) {
			interrupted.tokens(tokens[i]);
		}
		first.crash();
		FakeCall resumed = second.next();
		String resumedText = resumed.resumed();
		assertThat("abcd").startsWith(resumedText);
		resumed.greet();
		for (int i = resumedText.length(); i < tokens.length; i++) {
			resumed.tokens(tokens[i]);
		}
		resumed.finish();
		assertThat(withoutGeneratedFields(Caller.await(answer))).isEqualTo(expected);
	}

	/**
	 * A sidecar is lost while it runs a request. Its connections either stay half-open,
	 * as when its machine fails, or are closed. In both cases the request must be resumed
	 * at another sidecar.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldCompleteResponseAfterSidecarWasLost(boolean halfOpen) {
		FakeUpstream first = this.fleet.upstream();
		SidecarProcess sidecar = this.fleet.sidecar("desk", first, 4);
		FrozenProxy proxy = new FrozenProxy(this.fleet.vertx(), sidecar.linkAddress());
		this.fleet.list("desk", proxy.address());
		String expected = bodyWithoutFailure(first, true);
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
		first.next().greet().tokens("a", "b");
		FakeUpstream second = this.fleet.listedUpstream("desk", 4);
		if (halfOpen) {
			proxy.freeze();
		}
		else {
			proxy.close();
		}
		FakeCall resumed = second.next();
		resumed.greet().tokens("abcd".substring(resumed.resumed().length()).split("")).finish();
		assertThat(withoutGeneratedFields(Caller.await(answer))).isEqualTo(expected);
		proxy.close();
	}

	/**
	 * A non-idempotent request fails, either before it was passed on to the upstream or
	 * after. It must not run twice, and the error must say "not run" only if the request
	 * was certainly not passed on.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldNotRepeatNonIdempotentRequest(boolean passedOn) {
		FakeUpstream first = this.fleet.listedUpstream("bookings", 4);
		if (!passedOn) {
			first.crash();
		}
		CompletableFuture<HttpResponse<String>> answer = this.caller.post("/services/bookings/book", "{}");
		if (passedOn) {
			FakeCall booking = first.next();
			this.fleet.listedUpstream("bookings", 4);
			booking.breakOff();
		}
		HttpResponse<String> refused = Caller.await(answer);
		assertThat(Caller.error(refused))
			.isEqualTo(passedOn ? "request_outcome_unknown" : "request_not_run_no_upstream");
		assertThat(first.count()).isEqualTo(passedOn ? 1 : 0);
	}

	/**
	 * A non-idempotent request reaches a sidecar whose upstream is down. It was not
	 * passed on, so it must be retried at the other upstream and run there once.
	 */
	@Test
	void shouldRetryNonIdempotentRequestThatWasNotPassedOn() {
		this.fleet.listedUpstream("bookings", 4).crash();
		FakeUpstream second = this.fleet.listedUpstream("bookings", 4);
		for (int i = 0; i < 6; i++) {
			CompletableFuture<HttpResponse<String>> answer = this.caller.post("/services/bookings/book", "{}");
			second.next().answer(201, "{}");
			assertThat(Caller.await(answer).statusCode()).isEqualTo(201);
		}
		assertThat(second.count()).isEqualTo(6);
	}

	/**
	 * A non-idempotent request has an idempotency key, but the key's shard has no owner,
	 * so the key cannot be claimed. Running the request could run it twice; it must be
	 * refused with an error that says that it was not run.
	 */
	@Test
	void shouldRefuseKeyedRequestIfClaimCannotBeWritten() {
		FakeUpstream upstream = this.fleet.listedUpstream("bookings", 4);
		HttpResponse<String> refused = Caller
			.await(this.caller.post("/services/bookings/book", "{}", "Idempotency-Key", "k1"));
		assertThat(Caller.error(refused)).isEqualTo("request_not_run_no_record");
		assertThat(upstream.count()).isEqualTo(0);
	}

	/**
	 * A caller loses the response to a non-idempotent request and sends the request again
	 * with the same idempotency key, to the same entry or to another. The request must
	 * not run twice, and a request with another key must run.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldRunKeyedRequestOnceAcrossEntries(boolean ownerFirst) {
		TestFleet.TestEntry other = this.fleet.entry();
		FakeUpstream upstream = this.fleet.listedUpstream("bookings", 4);
		this.entry.ownAllShards();
		TestFleet.await(() -> other.peers().contains(this.entry.id()));
		Caller first = ownerFirst ? this.caller : other.caller();
		Caller second = ownerFirst ? other.caller() : this.caller;
		CompletableFuture<HttpResponse<String>> answer = first.post("/services/bookings/book", "{}", "Idempotency-Key",
				"k1");
		upstream.next().answer(201, "{}");
		assertThat(Caller.await(answer).statusCode()).isEqualTo(201);
		for (Caller resender : new Caller[] { first, second }) {
			HttpResponse<String> refused = Caller
				.await(resender.post("/services/bookings/book", "{}", "Idempotency-Key", "k1"));
			assertThat(Caller.error(refused)).isEqualTo("request_key_taken");
		}
		CompletableFuture<HttpResponse<String>> otherKey = second.post("/services/bookings/book", "{}",
				"Idempotency-Key", "k2");
		upstream.next().answer(201, "{}");
		assertThat(Caller.await(otherKey).statusCode()).isEqualTo(201);
		assertThat(upstream.count()).isEqualTo(2);
	}

	/**
	 * A caller disconnects while its request runs. The slot must become free for the next
	 * request at once.
	 */
	@Test
	void shouldFreeSlotOfDisconnectedCaller() {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 1);
		CompletableFuture<HttpResponse<String>> gone = this.caller.chat("first", true);
		FakeCall abandoned = upstream.next().greet().tokens("a");
		gone.cancel(true);
		abandoned.awaitClosed();
		CompletableFuture<HttpResponse<String>> next = this.caller.chat("second", false);
		upstream.next().greet().tokens("b").finish();
		assertThat(Caller.await(next).statusCode()).isEqualTo(200);
	}

	/**
	 * A caller is slow to read its response, as on a poor connection. The request must
	 * not occupy the engine's slot until the response has been read, and the response
	 * must be complete when the caller reads it.
	 */
	@Test
	void shouldNotHoldSlotForSlowCaller() throws IOException {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 1);
		try (Socket slow = connectWithoutReading()) {
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
	 * A caller never reads a response that grows without end. The entry must cancel the
	 * request before the unread output exhausts the entry's memory.
	 */
	@Test
	void shouldCloseConnectionOfCallerThatNeverReads() throws IOException {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 1);
		try (Socket stuck = connectWithoutReading()) {
			FakeCall call = upstream.next().greet();
			for (int i = 0; i < 40; i++) {
				call.tokens("x".repeat(1_000_000));
			}
			call.awaitClosed();
			assertThat(stuck.isClosed()).isFalse();
		}
	}

	private Socket connectWithoutReading() throws IOException {
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
	 * A crashed engine refuses connections while it restarts. Since refusals are fast,
	 * the engine appears to have the lowest load and would attract requests, which would
	 * fail as "not run" although other engines could run them. It must receive no
	 * requests until it has restarted.
	 */
	@Test
	void shouldAvoidCrashedEngineUntilItHasRestarted() {
		FakeUpstream good = this.fleet.listedUpstream("desk", 4);
		FakeUpstream bad = this.fleet.listedUpstream("desk", 4);
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
	 * One engine has not loaded the model, as after an unload order. Its 404 must not
	 * reach the caller while another engine has loaded the model.
	 */
	@Test
	void shouldRetryOnOtherEngineWhenModelIsMissing() {
		FakeUpstream without = this.fleet.listedUpstream("desk", 4);
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
		FakeCall refused = without.next();
		FakeUpstream with = this.fleet.listedUpstream("desk", 4);
		refused.answer(404, "{\"error\":{\"message\":\"The model `m` does not exist.\"}}");
		with.next().greet().tokens("a").finish();
		assertThat(Caller.await(answer).statusCode()).isEqualTo(200);
	}

	/**
	 * The deadline of a queued request passes while another request occupies the only
	 * slot. The caller must get a timeout, and the request must not be passed on.
	 */
	@Test
	void shouldReportDeadlineThatPassedInQueue() {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 1);
		CompletableFuture<HttpResponse<String>> running = this.caller.chat("first", false);
		FakeCall first = upstream.next();
		HttpResponse<String> late = Caller.await(this.caller.chat("second", false, "X-Deadline-Millis", "50"));
		assertThat(late.statusCode()).isEqualTo(504);
		first.greet().tokens("a").finish();
		assertThat(Caller.await(running).statusCode()).isEqualTo(200);
		assertThat(upstream.count()).isEqualTo(1);
	}

	@Test
	void shouldNameUnavailableDependency() {
		this.fleet.listedUpstream("letters", 4);
		HttpResponse<String> refused = Caller.await(this.caller.post("/services/letters/write", "{}"));
		assertThat(Caller.error(refused)).isEqualTo("request_not_run_dependency");
		assertThat(refused.body()).contains("bookings");
		assertThat(refused.headers().firstValue("Retry-After").isPresent()).isTrue();
	}

	/**
	 * The platform's list temporarily omits a sidecar that is serving. The sidecar's
	 * requests must continue, and it must receive new ones.
	 */
	@Test
	void shouldKeepServingWhenListOmitsSidecar() {
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
	 * A sidecar is stopped while it runs a request, and the list still contains it. The
	 * response must be completed, and new requests must go to other sidecars at once.
	 */
	@Test
	void shouldFinishResponsesOfDrainingSidecar() {
		FakeUpstream first = this.fleet.upstream();
		SidecarProcess sidecar = this.fleet.sidecar("desk", first, 4, Duration.ofSeconds(20));
		this.fleet.list("desk", sidecar.linkAddress());
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", true);
		FakeCall running = first.next().greet().tokens("a");
		FakeUpstream second = this.fleet.listedUpstream("desk", 4);
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
	 * One request crashes every engine that runs it, and another request is in flight at
	 * the first crash. The crashing request must be refused after two crashes while it
	 * was alone, also when it is sent to another entry, and the other request must be
	 * answered.
	 */
	@Test
	void shouldQuarantineCrashingRequestAndAnswerConcurrentOne() {
		TestFleet.TestEntry other = this.fleet.entry();
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
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
