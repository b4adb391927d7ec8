package org.ragworthook.daemon.whole;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.daemon.fake.FakeCall;
import org.ragworthook.daemon.fake.FakeUpstream;
import org.ragworthook.daemon.fake.RawCaller;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests what callers get whose requests are open when an entry stops as planned.
 */
class PlannedStopTests {

	private static final String TEXT = """
			{
				"name": "test",
				"regions": [{"name": "region", "failureDomains": ["domain"]}],
				"services": [{"name": "desk", "failureDomains": ["domain"], "upstreams": 1,
					"models": [{"name": "test-model", "version": "1",
						"replicas": {"min": 1, "max": 1, "failureDomains": 1}}]}],
				"accounts": [{"name": "tester", "keys": ["%s"]}]
			}
			""".formatted(KeyHash.of(WholeFleet.KEY).text());

	/** Longer than a balancer takes to notice, and far shorter than the requests. */
	private static final Duration DRAIN = Duration.ofSeconds(2);

	private static final int LIMIT_SECONDS = 20;

	private static final int SLOTS = 2;

	private final WholeFleet fleet = new WholeFleet(TEXT);

	private final BlockingQueue<FakeCall> calls = new LinkedBlockingQueue<>();

	private final List<RawCaller> callers = new ArrayList<>();

	@AfterEach
	void stop() {
		this.callers.forEach(RawCaller::close);
		this.fleet.close();
	}

	/** Starts an entry and waits until it serves. */
	private URI entry(FakeUpstream engine) {
		URI entry = this.fleet.entry("http", "", DRAIN);
		engine.answerEach((call) -> call.greet().tokens("ready").finish());
		this.fleet.awaitServing();
		engine.answerEach(this.calls::add);
		return entry;
	}

	private FakeCall nextCall() throws InterruptedException {
		return Objects.requireNonNull(this.calls.poll(LIMIT_SECONDS, TimeUnit.SECONDS), "no call came to the engine");
	}

	private RawCaller chat(URI entry, boolean stream) {
		String body = "{\"model\": \"" + WholeFleet.MODEL + "\", \"stream\": " + stream
				+ ", \"messages\": [{\"role\": \"user\", \"content\": \"a long story\"}]}";
		RawCaller caller = RawCaller.send(entry.getPort(), WholeFleet.KEY, "1.1", "POST", "/v1/chat/completions", body);
		this.callers.add(caller);
		return caller;
	}

	/**
	 * Guards against requests that are cut off without an answer when the time for their
	 * end is over, and against an answer that says falsely that a request has not run.
	 */
	@Test
	void shouldAnswerWhatIsOpenAtTheEnd() throws Exception {
		FakeUpstream engine = this.fleet.fakeUpstream(SLOTS);
		URI entry = entry(engine);
		RawCaller streaming = chat(entry, true);
		nextCall().greet().tokens("a");
		streaming.awaitText("data: ");
		RawCaller running = chat(entry, false);
		nextCall();
		RawCaller waiting = chat(entry, false);
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> this.fleet.stop(entry));
		assertThat(running.await().text()).startsWith("HTTP/1.1 502 ");
		assertThat(waiting.await().text()).startsWith("HTTP/1.1 503 ");
		assertThat(streaming.await().text()).doesNotContain("[DONE]");
		stopped.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

}
