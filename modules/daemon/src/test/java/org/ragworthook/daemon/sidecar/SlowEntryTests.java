package org.ragworthook.daemon.sidecar;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.daemon.fake.RawEntry;
import org.ragworthook.daemon.fake.ScriptedServer;
import org.ragworthook.daemon.settings.SettingsReader;
import org.ragworthook.wire.message.Done;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Outcome;
import org.ragworthook.wire.message.Run;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests answers that engines send faster than the links to their entries take them.
 */
class SlowEntryTests {

	private static final int WAIT_SECONDS = 20;

	private static final long STEADY_MILLIS = 500;

	/** More than the buffers of a link and of a connection to an engine hold. */
	private static final int LONG_BYTES = 100_000_000;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

	private final AtomicLong sent = new AtomicLong();

	/** Completed once the engine has sent all, or its connection was closed. */
	private final CompletableFuture<Boolean> sentAll = new CompletableFuture<>();

	private boolean send(ScriptedServer.Request request, String head, String repeated, long bytes) throws IOException {
		if (!request.line().startsWith("POST")) {
			request.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
			return true;
		}
		try {
			request.send(head);
			request.sendRepeatedly(repeated, bytes, this.sent);
			this.sentAll.complete(true);
		}
		catch (IOException ex) {
			this.sentAll.complete(false);
			throw ex;
		}
		return false;
	}

	private static SidecarProcess sidecar(ScriptedServer engine) {
		return SidecarProcess.start(SettingsReader.parse("test", """
				{"role": "sidecar", "instance": "sidecar", "region": "region", "failureDomain": "domain",
				 "http": "127.0.0.1:0", "link": "127.0.0.1:0",
				 "platform": {"objects": "127.0.0.1:1", "instances": "127.0.0.1:1"},
				 "upstream": {"url": "%s", "service": "letters", "initialLimit": 2, "maxLimit": 2},
				 "limits": {"drainMillis": 1}}
				""".formatted(engine.url())));
	}

	private static Run run(String path, boolean repeatable) {
		return Run.newBuilder()
			.setRequest("r-1")
			.setAttempt(1)
			.setMethod("POST")
			.setPath(path)
			.setBody(ByteString.copyFromUtf8("{\"prompt\":\"a\"}"))
			.setStream(true)
			.setRepeatable(repeatable)
			.build();
	}

	private void awaitSteady(RawEntry entry) throws IOException, InterruptedException {
		long before;
		do {
			entry.heartbeat();
			before = this.sent.get();
			TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
		}
		while (before == 0 || this.sent.get() != before);
	}

	private static Done readToEnd(RawEntry entry, AtomicLong received) throws IOException {
		Frame next = entry.next();
		while (!next.hasDone()) {
			if (next.hasOutput()) {
				received.addAndGet(next.getOutput().getBody().size());
			}
			next = entry.next();
		}
		return next.getDone();
	}

	/**
	 * Guards against a stream without end that is kept for a link that does not take it,
	 * until the sidecar runs out of memory and all its requests end.
	 */
	@Test
	void shouldNotKeepAStreamWithoutEndForAnEntryThatDoesNotRead() throws Exception {
		try (ScriptedServer engine = ScriptedServer
			.start((request) -> send(request, HEAD + "\r\n", "x", ScriptedServer.ENDLESS_BYTES));
				SidecarProcess sidecar = sidecar(engine);
				RawEntry entry = RawEntry.connect(sidecar.linkAddress())) {
			entry.send(run("/letters", true));
			awaitSteady(entry);
			assertThat(this.sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

	/** Guards against a stream that was held up and does not go on, or lacks a part. */
	@ParameterizedTest
	@ValueSource(strings = { "", "Content-Length: " + LONG_BYTES + "\r\n" })
	void shouldDeliverALongStreamToAnEntryThatReadsLate(String length) throws Exception {
		try (ScriptedServer engine = ScriptedServer
			.start((request) -> send(request, HEAD + length + "\r\n", "x", LONG_BYTES));
				SidecarProcess sidecar = sidecar(engine);
				RawEntry entry = RawEntry.connect(sidecar.linkAddress())) {
			entry.send(run("/letters", true));
			awaitSteady(entry);
			assertThat(this.sent.get()).isLessThan(LONG_BYTES);
			AtomicLong received = new AtomicLong();
			assertThat(readToEnd(entry, received).getOutcome()).isEqualTo(Outcome.OUTCOME_ANSWERED);
			assertThat(received.get()).isEqualTo(LONG_BYTES);
		}
	}

	/**
	 * Guards against a request that is held up for good, with its slot, when the link is
	 * lost: one that may run only once runs to its end, any other is cancelled.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldNotHoldUpARequestWhoseLinkIsLost(boolean repeatable) throws Exception {
		try (ScriptedServer engine = ScriptedServer.start((request) -> send(request, HEAD + "\r\n", "x", LONG_BYTES));
				SidecarProcess sidecar = sidecar(engine)) {
			try (RawEntry entry = RawEntry.connect(sidecar.linkAddress())) {
				entry.send(run("/letters", repeatable));
				awaitSteady(entry);
			}
			assertThat(this.sentAll.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(!repeatable);
		}
	}

	/** Guards against bytes that are read on and dropped behind a complete answer. */
	@ParameterizedTest
	@ValueSource(strings = { "data: {\"error\":{\"message\":\"failed\"}}\n\n",
			"data: {\"choices\":[{\"text\":\"word\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n" })
	void shouldNotReadOnBehindTheEndOfAGeneration(String events) throws Exception {
		try (ScriptedServer engine = ScriptedServer
			.start((request) -> send(request, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events,
					": comment\n\n", ScriptedServer.ENDLESS_BYTES));
				SidecarProcess sidecar = sidecar(engine);
				RawEntry entry = RawEntry.connect(sidecar.linkAddress())) {
			entry.send(run("/v1/completions", true));
			assertThat(readToEnd(entry, new AtomicLong()).getOutcome()).isEqualTo(Outcome.OUTCOME_ANSWERED);
			assertThat(this.sentAll.get(WAIT_SECONDS, TimeUnit.SECONDS)).isFalse();
		}
	}

}
