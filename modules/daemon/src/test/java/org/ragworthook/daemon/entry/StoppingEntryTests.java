package org.ragworthook.daemon.entry;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.daemon.fake.Caller;
import org.ragworthook.daemon.fake.FakeCall;
import org.ragworthook.daemon.fake.FakeUpstream;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests how an entry that stops answers requests.
 */
class StoppingEntryTests {

	private final TestFleet fleet = new TestFleet();

	private final TestFleet.TestEntry entry = this.fleet.entry();

	private final Caller caller = this.entry.caller();

	@AfterEach
	void close() {
		this.fleet.close();
	}

	/** Guards against a request that is taken too late to be run to its end. */
	@Test
	void shouldRefuseRequestsThatComeLate() {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		this.entry.online().refuseRequests();
		HttpResponse<String> answer = Caller.await(this.caller.chat("late", false));
		assertThat(Caller.error(answer)).isEqualTo("request_not_run_stopping");
		assertThat(answer.statusCode()).isEqualTo(503);
		assertThat(answer.headers().firstValue("Retry-After")).isPresent();
		assertThat(upstream.count()).isEqualTo(0);
	}

	/**
	 * Guards against requests in progress that are given up when new ones are refused.
	 */
	@Test
	void shouldFinishRequestsInProgress() {
		FakeUpstream upstream = this.fleet.listedUpstream("desk", 4);
		CompletableFuture<HttpResponse<String>> answer = this.caller.chat("hello", false);
		FakeCall running = upstream.next();
		this.entry.online().refuseRequests();
		running.greet().tokens("a").finish();
		assertThat(Caller.await(answer).statusCode()).isEqualTo(200);
	}

	/**
	 * Guards against a request that is cut off without an answer, and against telling the
	 * caller of one that may run only once, and may have run, that it has not.
	 */
	@Test
	void shouldStateWhetherAnOpenRequestMayHaveRun() {
		FakeUpstream upstream = this.fleet.listedUpstream("bookings", 1);
		CompletableFuture<HttpResponse<String>> running = this.caller.post("/services/bookings/book", "{}");
		upstream.next();
		CompletableFuture<HttpResponse<String>> waiting = this.caller.post("/services/bookings/book", "{}");
		TestFleet.await(() -> this.entry.online().inProgress() == 2);
		this.entry.online().endRequests();
		assertThat(Caller.error(Caller.await(running))).isEqualTo("request_outcome_unknown");
		assertThat(Caller.error(Caller.await(waiting))).isEqualTo("request_not_run_stopping");
		assertThat(upstream.count()).isEqualTo(1);
		TestFleet.await(() -> this.entry.online().inProgress() == 0);
	}

}
