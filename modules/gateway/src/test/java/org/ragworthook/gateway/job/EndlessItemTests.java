package org.ragworthook.gateway.job;

import java.io.IOException;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.http.EndlessServer;
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a response without end ends the run of an item, and that the item completes
 * in another run.
 */
class EndlessItemTests {

	private static final HeaderNames NAMES = new HeaderNames("X-Request-Id", "X-Deadline-Ms", "X-Prompt-Prefix",
			"Last-Event-Id", "Resumes", "X-Response-Signature", "X-Expect-Instance", "X-Not-Executed", "X-Wait-Ms",
			"X-Api-Key", "X-Tenant");

	private static final int TOKENS = 10_000;

	private static final int REPEATED = 1_024;

	private static final String SOUND = ScriptedUpstream.head(200, "text/event-stream") + ScriptedUpstream.events(1, 3)
			+ ScriptedUpstream.LAST_CHUNK;

	private static final String TEXT = "text 1\ntext 2\ntext 3";

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final ConnectionPool pool = ConnectionPool.of(this.loop, Ticker.system(), Duration.ofSeconds(5),
			NAMES.requestId());

	private EndlessServer server;

	private TrackedUpstream upstream;

	@BeforeEach
	void start() throws IOException {
		this.server = EndlessServer.start();
		UpstreamRegistry registry = UpstreamRegistry.empty();
		registry
			.put(new UpstreamDescriptor("u", "svc", this.server.address(), "a", 8, false, SoftwareVersion.of("v1")));
		this.upstream = registry.serving("svc").get(0);
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static ItemRun item(String id) {
		JobItem item = new JobItem(id, "/p", Map.of(), Base64.getEncoder().encodeToString("body".getBytes()), TOKENS);
		return new ItemRun(new Job("job", Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)), item);
	}

	private Listener run(ItemRun item) throws Exception {
		Listener listener = new Listener();
		this.loop.submit(() -> item.start(this.upstream, this.pool, NAMES, listener)).get();
		return listener;
	}

	/** Guards against a run that ends only with the item's retention period. */
	@ParameterizedTest
	@EnumSource
	void shouldEndTheRunAndCompleteTheItemInAnother(Place place) throws Exception {
		EndlessServer.Endless endless = this.server.replyWithoutEnd(place.first, place.repeated);
		ItemRun item = item("item");
		Listener first = run(item);
		endless.awaitBegun();
		this.server.reply(SOUND);
		assertThat(run(item("other")).end()).hasValue(new ItemOutcome("other", true, TEXT));
		assertThat(first.end()).isEmpty();
		assertThat(first.failure).isEqualTo(place.rejects ? "rejected" : "MALFORMED");
		assertThat(endless.closedByClient()).isTrue();
		assertThat(this.loop.submit(() -> this.upstream.ownLoad(WorkClass.BATCH)).get()).isEqualTo(0);
		this.server.reply(SOUND);
		assertThat(run(item).end()).hasValue(new ItemOutcome("item", true, TEXT));
	}

	/** Guards against a limit on bytes between events that a repeated stream exceeds. */
	@Test
	void shouldAcceptALongStreamThatIsRepeatedFromItsFirstEvent() throws Exception {
		String head = ScriptedUpstream.head(200, "text/event-stream").replace("Connection: close\r\n", "");
		StringBuilder events = new StringBuilder();
		for (int id = 1; id <= 20; id++) {
			events.append(ScriptedUpstream.chunk("id: " + id + "\ndata: " + "x".repeat(100_000 - 1) + "\n\n"));
		}
		this.server.reply(head + events + "broken\r\n");
		ItemRun item = item("item");
		assertThat(run(item).end()).isEmpty();
		assertThat(item.lastEvent()).isEqualTo(20);
		this.server.reply(head + events + ScriptedUpstream.LAST_CHUNK);
		assertThat(run(item).end().orElseThrow().completed()).isTrue();
	}

	/** What is sent without end. */
	enum Place {

		BODY_OF_REJECTION(rejection(503), (part) -> chunk("x"), true),

		BODY_OF_MISDIRECTED(rejection(421), (part) -> chunk("x"), true),

		/** Nothing is sent after the head. */
		MISSING_BODY_OF_REJECTION(rejection(503), (part) -> "", true),

		BODY_OF_ERROR(ScriptedUpstream.head(500, "text/plain"), (part) -> chunk("x"), false),

		BODY_OF_UNPROCESSABLE(ScriptedUpstream.head(422, "text/plain"), (part) -> chunk("x"), false),

		OTHER_BODY(ScriptedUpstream.head(200, "text/plain"), (part) -> chunk("x"), false),

		EVENT(stream("id: 1\ndata: "), (part) -> chunk("x"), false),

		LINES_OF_EVENT(stream("id: 1\n"), (part) -> chunk("data: x\n"), false),

		COMMENTS(stream("id: 1\ndata: text 1\n\n"), (part) -> chunk(": comment\n\n"), false),

		EMPTY_EVENTS(stream("id: 1\ndata: text 1\n\n"), (part) -> chunk("\n"), false),

		UNNUMBERED_EVENTS(stream("id: 1\ndata: text 1\n\n"), (part) -> chunk("data: x\n\n"), false),

		REPEATED_EVENT(stream("id: 1\ndata: text 1\n\n"), (part) -> chunk("id: 1\ndata: x\n\n"), false),

		EVENTS_AFTER_A_GAP(stream("id: 1\ndata: text 1\n\n"), (part) -> numbered(part * REPEATED + 3), false),

		NUMBERED_EVENTS(stream(": begin\n\n"), (part) -> numbered(part * REPEATED + 1), false),

		LARGE_NUMBERED_EVENTS(stream(": begin\n\n"),
				(part) -> ScriptedUpstream.chunk("id: " + (part + 1) + "\ndata: " + "x".repeat(500_000) + "\n\n"),
				false);

		private final String first;

		private final IntFunction<String> repeated;

		private final boolean rejects;

		Place(String first, IntFunction<String> repeated, boolean rejects) {
			this.first = first;
			this.repeated = repeated;
			this.rejects = rejects;
		}

		private static String rejection(int status) {
			return "HTTP/1.1 " + status + " x\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
		}

		private static String stream(String body) {
			return ScriptedUpstream.head(200, "text/event-stream") + ScriptedUpstream.chunk(body);
		}

		private static String chunk(String text) {
			return ScriptedUpstream.chunk(text.repeat(REPEATED));
		}

		private static String numbered(int from) {
			return ScriptedUpstream.events(from, from + REPEATED - 1);
		}

	}

	/** Records the end of a run. */
	private static final class Listener implements ItemRun.RunListener {

		private final BlockingQueue<Optional<ItemOutcome>> ends = new LinkedBlockingQueue<>();

		private volatile String failure = "";

		private Optional<ItemOutcome> end() throws InterruptedException {
			Optional<ItemOutcome> end = this.ends.poll(30, TimeUnit.SECONDS);
			assertThat(end).isNotNull();
			return end;
		}

		@Override
		public void ended(ItemRun run, Optional<ItemOutcome> outcome) {
			this.ends.add(outcome);
		}

		@Override
		public void refused(TrackedUpstream upstream) {
			this.failure = "rejected";
		}

		@Override
		public void failed(ItemRun run, TrackedUpstream upstream, SendFailure failure) {
			this.failure = failure.name();
		}

		@Override
		public void succeeded(ItemRun run, TrackedUpstream upstream, ResponseEnd end) {
		}

		@Override
		public void received(TrackedUpstream upstream) {
		}

		@Override
		public long nanosAfter(Duration delay) {
			return delay.toNanos();
		}

	}

}
