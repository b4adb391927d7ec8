package org.ragworthook.gateway.job;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.http.ResponseEnd;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.observe.RunObserver;
import org.ragworthook.gateway.origin.StreamOrigin;
import org.ragworthook.gateway.peer.Loopback;
import org.ragworthook.gateway.upstream.SoftwareVersion;
import org.ragworthook.gateway.upstream.TrackedUpstream;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;
import org.ragworthook.gateway.upstream.UpstreamRegistry;
import org.ragworthook.gateway.upstream.WorkClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests which responses complete an item, and what text the item has then.
 */
class ItemRunTests {

	private static final StreamOrigin ORIGIN = new StreamOrigin("svc", SoftwareVersion.of("v1"));

	private static final HeaderNames NAMES = new HeaderNames("X-Request-Id", "X-Deadline-Ms", "X-Prompt-Prefix",
			"Last-Event-Id", "Resumes", "X-Response-Signature", "X-Expect-Instance", "X-Not-Executed", "X-Wait-Ms",
			"X-Api-Key", "X-Tenant");

	private static final String EVENT_STREAM = "text/event-stream";

	private static final String STREAM_HEAD = ScriptedUpstream.head(200, EVENT_STREAM);

	private static final int EVENTS = 5;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final Closer closer = Closer.empty();

	private final ConnectionPool pool = ConnectionPool.of(this.loop, Ticker.system(), Duration.ofSeconds(5),
			NAMES.requestId());

	private final BlockingQueue<Optional<ItemOutcome>> ends = new LinkedBlockingQueue<>();

	private final AtomicLong nanos = new AtomicLong();

	private ScriptedUpstream upstream;

	private ItemRun run;

	@BeforeEach
	void start() throws IOException {
		this.upstream = this.closer.add(ScriptedUpstream.start());
		this.run = run(Map.of());
	}

	@AfterEach
	void stop() {
		this.closer.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private static ItemRun run(Map<String, String> headers) {
		JobItem item = new JobItem("item", "/p", headers, Base64.getEncoder().encodeToString("body".getBytes()),
				EVENTS);
		return new ItemRun(new Job("job", Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)), item);
	}

	private static TrackedUpstream tracked(Address address) {
		UpstreamRegistry registry = UpstreamRegistry.empty();
		registry.put(new UpstreamDescriptor("u", "svc", address, "a", 8, false, SoftwareVersion.of("v1")));
		return registry.serving("svc").get(0);
	}

	private Optional<ItemOutcome> runOnce(TrackedUpstream tracked) throws Exception {
		this.loop.submit(() -> this.run.start(tracked, this.pool, NAMES, new Listener())).get();
		Optional<ItemOutcome> end = this.ends.poll(30, TimeUnit.SECONDS);
		assertThat(end).isNotNull();
		return end;
	}

	private Optional<ItemOutcome> runOnce() throws Exception {
		return runOnce(tracked(this.upstream.address()));
	}

	private static String text(int events) {
		return String.join("\n", IntStream.rangeClosed(1, events).mapToObj((event) -> "text " + event).toList());
	}

	private static Optional<ItemOutcome> completed(String text) {
		return Optional.of(new ItemOutcome("item", true, text));
	}

	@Test
	void shouldCompleteWithTheDataOfAllEvents() throws Exception {
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
	}

	/**
	 * Guards against an item that is listed with an empty or partial text because its
	 * response has status 200 and is no stream of events, or has none.
	 * @param contentType the media type of the response
	 * @param body its body
	 */
	@ParameterizedTest
	@CsvSource({ "text/plain, busy", "application/json, {}", "text/html, 'data: text 1'", "'', 'data: text 1'",
			"'', ''", "text/event-stream, ''", "text/event-stream, ': comment\n\n'" })
	void shouldNotCompleteWithoutAnEvent(String contentType, String body) throws Exception {
		String chunk = body.isEmpty() ? "" : ScriptedUpstream.chunk(body);
		this.upstream.reply(ScriptedUpstream.head(200, contentType) + chunk + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
		assertThat(this.upstream.received().get(1).header("last-event-id")).isEmpty();
	}

	/**
	 * Guards against the end of a resumed run being taken for the end of the item though
	 * its response is not the rest of the stream.
	 * @param status the status of the resumed run
	 * @param contentType the media type of its response
	 * @param chunk its body
	 */
	@ParameterizedTest
	@CsvSource({ "500, text/plain, failed", "504, '', late", "200, text/plain, busy", "200, '', 'data: x\n\n'",
			"204, text/event-stream, ''", "500, text/event-stream, 'id: 3\ndata: x\n\n'",
			"200, text/event-stream, 'id: 4\ndata: x\n\n'", "200, text/event-stream, 'id: 3\ndata: x\n'" })
	void shouldNotJoinAResponseThatIsNotTheRestOfTheStream(int status, String contentType, String chunk)
			throws Exception {
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, 2));
		assertThat(runOnce()).isEmpty();
		String body = chunk.isEmpty() ? "" : ScriptedUpstream.chunk(chunk);
		this.upstream.reply((status == 204) ? "HTTP/1.1 204 x\r\nX-Response-Signature: s\r\nConnection: close\r\n\r\n"
				: ScriptedUpstream.head(status, contentType) + body + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(3, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
		assertThat(this.upstream.received().get(2).header("last-event-id")).hasValue("2");
	}

	/**
	 * Guards against an item that is completed, continued or given up by bytes that are
	 * no response.
	 * @param malformed turns a head into a malformed one
	 */
	@ParameterizedTest
	@MethodSource("malformations")
	void shouldTakeNothingFromAMalformedResponse(UnaryOperator<String> malformed) throws Exception {
		String stream = malformed.apply(STREAM_HEAD);
		this.upstream.reply(stream + ScriptedUpstream.events(1, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(malformed.apply(ScriptedUpstream.head(422, "text/plain")) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, 2));
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(stream + ScriptedUpstream.events(3, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(3, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
		assertThat(this.upstream.received().get(4).header("last-event-id")).hasValue("2");
	}

	static Stream<UnaryOperator<String>> malformations() {
		return Stream.of((head) -> head.replaceFirst("HTTP/1.1 ...", "HTTP/1.1 000"),
				(head) -> head.replaceFirst("HTTP/1.1 ", "HTTP/1.1 +"),
				(head) -> head.replaceFirst("\r\n", "\r\nX-No te: 1\r\n"),
				(head) -> head.replaceFirst("\r\n", "\r\nX-No\u0001te: 1\r\n"),
				(head) -> head.replaceFirst("\r\n", "\r\nX-Note : 1\r\n"));
	}

	/**
	 * A run breaks off after its last event; the resumed run has nothing left to send.
	 */
	@Test
	void shouldCompleteWhenNothingIsLeftAfterTheLastEvent() throws Exception {
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, EVENTS));
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
		assertThat(this.upstream.received().get(1).header("last-event-id")).hasValue("5");
	}

	/**
	 * Guards against text that stands twice: an event without a number comes again when
	 * the item resumes after the last numbered one.
	 * @param before the events before the run breaks off
	 * @param after the events of the resumed run
	 * @param text the whole text
	 */
	@ParameterizedTest
	@CsvSource({ "'id: 1\ndata: a\n\ndata: b\n\n', 'data: b\n\nid: 2\ndata: c\n\n', 'a\nb\nc'",
			"'data: a\n\n', 'data: a\n\ndata: b\n\n', 'a\nb'",
			"'data: a\n\nid: 1\ndata: b\n\n', 'data: c\n\n', 'a\nb\nc'",
			"'data:\n\n', 'data:\n\nid: 1\ndata: b\n\n', '\nb'" })
	void shouldKeepUnnumberedEventsOnlyIfTheRunGoesOn(String before, String after, String text) throws Exception {
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.chunk(before));
		assertThat(runOnce()).isEmpty();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.chunk(after) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text));
	}

	/**
	 * The saved progress of an item is its text up to the stated event and nothing else.
	 */
	@Test
	void shouldSaveTheTextUpToTheLastNumberedEvent() throws Exception {
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, 2) + ScriptedUpstream.chunk("data: more\n\n"));
		assertThat(runOnce()).isEmpty();
		assertThat(this.run.progress()).hasValue(new ItemProgress("job", "item", 2, Optional.of(ORIGIN), text(2)));
	}

	/**
	 * Guards against a run that was stopped, or whose progress another owner has taken
	 * over, adding to the text later.
	 */
	@Test
	void shouldIgnoreARunThatWasStopped() throws Exception {
		this.upstream.replyAndStall(STREAM_HEAD + ScriptedUpstream.events(1, 2));
		this.loop.submit(() -> this.run.start(tracked(this.upstream.address()), this.pool, NAMES, new Listener()))
			.get();
		Loopback.await(() -> this.loop.submit(this.run::lastEvent).syncUninterruptibly().getNow() == 2);
		this.loop.submit(this.run::stop).get();
		this.loop.submit(() -> this.run.resumeFrom(new ItemProgress("job", "item", 3, Optional.of(ORIGIN), text(3))))
			.get();
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(4, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
		assertThat(this.upstream.received().get(1).header("last-event-id")).hasValue("3");
		assertThat(this.ends).isEmpty();
	}

	/**
	 * Guards against an item that a caller's own header starts in the middle, and against
	 * headers that change where the request ends.
	 * @param name the name of a header that the item states
	 * @param value its value
	 */
	@ParameterizedTest
	@CsvSource({ "Last-Event-Id, 7", "last-event-id, 7", "Transfer-Encoding, chunked", "transfer-encoding, gzip",
			"Content-Length, 2", "Connection, close", "Expect, 100-continue", "Upgrade, h2c", "X-Api-Key, k",
			"X-Tenant, other" })
	void shouldNotSendHeadersThatOnlyWeMaySet(String name, String value) throws Exception {
		this.run = run(Map.of(name, value, "X-Model", "m"));
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(1, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce()).isEqualTo(completed(text(EVENTS)));
		ScriptedUpstream.Received received = this.upstream.received().get(0);
		assertThat(received.head()).doesNotContain(name + ": " + value);
		assertThat(received.header("content-length")).hasValue("4");
		assertThat(new String(received.body())).isEqualTo("body");
		assertThat(received.header("x-model")).hasValue("m");
	}

	/**
	 * Guards against a failure that is reported while the run is being started, which
	 * ended the periodic round of the process.
	 * @param host a host that fails before a connection is tried
	 */
	@ParameterizedTest
	@ValueSource(strings = "[x")
	void shouldEndARunThatFailsAtOnce(String host) throws Exception {
		TrackedUpstream unreachable = tracked(new Address(host, 80));
		assertThat(runOnce(unreachable)).isEmpty();
		assertThat(this.run.running()).isFalse();
		assertThat(unreachable.ownLoad(WorkClass.BATCH)).isEqualTo(0);
	}

	/**
	 * Guards against failures and rejections that count as speed, and against comments
	 * that count as events.
	 * @param head the head of the response
	 * @param body its body
	 * @param observed what the observer is told
	 */
	@ParameterizedTest
	@MethodSource
	void shouldTellWhatIsObservedOfARun(String head, String body, String observed) throws Exception {
		List<String> told = new CopyOnWriteArrayList<>();
		this.upstream.reply(head + body);
		this.loop.submit(() -> this.run.start(tracked(this.upstream.address()), this.pool, NAMES, new Listener() {

			@Override
			public void refused(TrackedUpstream rejecting) {
			}

			@Override
			public RunObserver observe(TrackedUpstream chosen) {
				return observer(told);
			}

		})).get();
		assertThat(this.ends.poll(30, TimeUnit.SECONDS)).isNotNull();
		assertThat(String.join(" ", told)).isEqualTo(observed);
	}

	static Stream<Arguments> shouldTellWhatIsObservedOfARun() {
		String rejection = "HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
		return Stream.of(
				Arguments.of(STREAM_HEAD, ScriptedUpstream.events(1, 3) + ScriptedUpstream.LAST_CHUNK,
						"sent event event event COMPLETE"),
				Arguments.of(STREAM_HEAD,
						ScriptedUpstream.chunk(": comment\n\n") + ScriptedUpstream.events(1, 1)
								+ ScriptedUpstream.LAST_CHUNK,
						"sent event COMPLETE"),
				Arguments.of(STREAM_HEAD, ScriptedUpstream.events(1, 2), "sent event event FAILED"),
				Arguments.of(ScriptedUpstream.head(500, "text/plain"), ScriptedUpstream.LAST_CHUNK, "sent FAILED"),
				Arguments.of(ScriptedUpstream.head(422, ""), ScriptedUpstream.LAST_CHUNK, "sent COMPLETE"),
				Arguments.of("HTTP/1.1 200 x\r\nConnection: close\r\n\r\n", "", "sent FAILED"),
				Arguments.of(rejection, "", "sent REJECTED"));
	}

	private Optional<ItemRun.StalledRun> stalled(Duration limit) {
		return this.loop.submit(() -> this.run.stalled(this.nanos.get(), (chosen, progress) -> limit))
			.syncUninterruptibly()
			.getNow();
	}

	/**
	 * Starts the item and waits until it has received a part of the response.
	 * @param tracked the upstream
	 * @param listener receives the results
	 * @param events the number of events to wait for, 0 for the head
	 */
	private void startAndAwait(TrackedUpstream tracked, ItemRun.RunListener listener, int events) throws Exception {
		this.loop.submit(() -> this.run.start(tracked, this.pool, NAMES, listener)).get();
		Loopback.await(() -> stalled(Duration.ZERO).isPresent()
				&& this.loop.submit(this.run::lastEvent).syncUninterruptibly().getNow() == events);
	}

	/**
	 * Lets time pass, in steps of the periodic round.
	 * @param time the time
	 * @param limit the time that the run may make no progress
	 * @return whether the run has stalled at the end
	 */
	private boolean stalledAfter(Duration time, Duration limit) {
		boolean stalled = false;
		for (long passed = 0; passed < time.toMillis(); passed += 100) {
			this.nanos.addAndGet(Duration.ofMillis(100).toNanos());
			stalled = stalled(limit).isPresent();
		}
		return stalled;
	}

	/**
	 * Guards against an item that stays in progress for good since its response stops
	 * midway and the connection stays open, and against blaming the item for it.
	 * @param status the status of the response
	 * @param sent the number of events before the response stops
	 */
	@ParameterizedTest
	@CsvSource({ "200, 0", "200, 1", "200, 2", "200, 4", "200, 5", "500, 0", "422, 0" })
	void shouldResumeAfterAResponseThatStops(int status, int sent) throws Exception {
		List<String> observed = new CopyOnWriteArrayList<>();
		TrackedUpstream tracked = tracked(this.upstream.address());
		this.upstream.replyAndStall(
				ScriptedUpstream.head(status, (status == 200) ? EVENT_STREAM : "") + ScriptedUpstream.events(1, sent));
		startAndAwait(tracked, new Listener() {

			@Override
			public void failed(ItemRun run, TrackedUpstream upstream, SendFailure failure) {
				throw new AssertionError("failed: " + failure);
			}

			@Override
			public RunObserver observe(TrackedUpstream chosen) {
				return observer(observed);
			}

		}, sent);
		Duration limit = Duration.ofSeconds(2);
		assertThat(stalledAfter(Duration.ofMillis(1_900), limit)).isFalse();
		assertThat(stalledAfter(Duration.ofMillis(100), limit)).isTrue();
		this.loop.submit(this.run::endStalled).get();
		assertThat(observed.get(observed.size() - 1)).isEqualTo("FAILED");
		assertThat(tracked.ownLoad(WorkClass.BATCH)).isEqualTo(0);
		assertThat(this.run.mayStart(this.nanos.get())).isTrue();
		assertThat(this.run.serverErrors()).isEqualTo(0);
		this.upstream.reply(STREAM_HEAD + ScriptedUpstream.events(sent + 1, EVENTS) + ScriptedUpstream.LAST_CHUNK);
		assertThat(runOnce(tracked)).isEqualTo(completed(text(EVENTS)));
		assertThat(this.upstream.received().get(1).header("last-event-id"))
			.isEqualTo((sent > 0) ? Optional.of(String.valueOf(sent)) : Optional.empty());
	}

	/**
	 * Guards against an upstream that is slower than all that was observed and never gets
	 * to show its pace, since each run ends after the same time.
	 * @param sent the number of events before each response stops
	 * @param factor how much longer the second run may take
	 */
	@ParameterizedTest
	@CsvSource({ "0, 2", "1, 2", "2, 1" })
	void shouldWaitLongerAfterARunThatDidNotShowItsPace(int sent, int factor) throws Exception {
		Duration limit = Duration.ofSeconds(2);
		TrackedUpstream tracked = tracked(this.upstream.address());
		this.upstream.replyAndStall(STREAM_HEAD + ScriptedUpstream.events(1, sent));
		startAndAwait(tracked, new Listener(), sent);
		assertThat(stalledAfter(limit, limit)).isTrue();
		this.loop.submit(this.run::endStalled).get();
		this.upstream.replyAndStall(STREAM_HEAD);
		startAndAwait(tracked, new Listener(), sent);
		assertThat(stalledAfter(limit.multipliedBy(factor).minusMillis(100), limit)).isFalse();
		assertThat(stalledAfter(Duration.ofMillis(100), limit)).isTrue();
	}

	private static RunObserver observer(List<String> told) {
		return (RunObserver) Proxy.newProxyInstance(RunObserver.class.getClassLoader(),
				new Class<?>[] { RunObserver.class }, (proxy, method, arguments) -> {
					told.add(method.getName().equals("ended") ? String.valueOf(arguments[0]) : method.getName());
					return null;
				});
	}

	private class Listener implements ItemRun.RunListener {

		@Override
		public void ended(ItemRun run, Optional<ItemOutcome> outcome) {
			ItemRunTests.this.ends.add(outcome);
		}

		@Override
		public void refused(TrackedUpstream upstream) {
			throw new AssertionError("refused by " + upstream);
		}

		@Override
		public void failed(ItemRun run, TrackedUpstream upstream, SendFailure failure) {
			upstream.recordFailure();
		}

		@Override
		public void succeeded(ItemRun run, TrackedUpstream upstream, ResponseEnd end) {
		}

		@Override
		public void received(TrackedUpstream upstream) {
			upstream.recordActivity(0);
		}

		@Override
		public long nanosAfter(Duration delay) {
			return ItemRunTests.this.nanos.get() + delay.toNanos();
		}

	}

}
