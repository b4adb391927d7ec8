package org.ragworthook.gateway.job;

import java.io.IOException;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that an item does not end with a second response to another item.
 */
class SecondItemResponseTests {

	private static final HeaderNames NAMES = new HeaderNames("X-Request-Id", "X-Deadline-Ms", "X-Prompt-Prefix",
			"Last-Event-Id", "Resumes", "X-Response-Signature", "X-Expect-Instance", "X-Not-Executed", "X-Wait-Ms",
			"X-Api-Key", "X-Tenant");

	private static final int TOKENS = 10;

	/** Only reached on failure. */
	private static final int LIMIT_SECONDS = 10;

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

	private static String response(int status, String id, int events) {
		String line = id.isEmpty() ? "" : "X-Request-Id: " + id + "\r\n";
		return ScriptedUpstream.head(status, "text/event-stream").replace("Connection: close\r\n", line)
				+ ScriptedUpstream.events(1, events) + ScriptedUpstream.LAST_CHUNK;
	}

	private Optional<ItemOutcome> run(String id) throws Exception {
		JobItem item = new JobItem(id, "/p", Map.of(), Base64.getEncoder().encodeToString("body".getBytes()), TOKENS);
		ItemRun run = new ItemRun(new Job("job", Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)),
				item);
		Listener listener = new Listener();
		this.loop.submit(() -> run.start(this.upstream, this.pool, NAMES, listener)).get();
		return listener.end.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Guards against the output of another item as the result of an item that failed.
	 * @param id the id that the second response repeats, or an empty string
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "first" })
	void shouldNotCompleteAnItemWithASecondResponse(String id) throws Exception {
		this.server.reply(response(200, "first", 2));
		assertThat(run("first")).isPresent();
		this.server.reply(response(200, id, 2) + response(500, "next", 0));
		assertThat(run("next")).isEmpty();
	}

	/** Records the end of a run. */
	private static final class Listener implements ItemRun.RunListener {

		private final CompletableFuture<Optional<ItemOutcome>> end = new CompletableFuture<>();

		@Override
		public void ended(ItemRun run, Optional<ItemOutcome> outcome) {
			this.end.complete(outcome);
		}

		@Override
		public void refused(TrackedUpstream refusing) {
		}

		@Override
		public void failed(ItemRun run, TrackedUpstream failing, SendFailure failure) {
		}

		@Override
		public void succeeded(ItemRun run, TrackedUpstream upstream, ResponseEnd end) {
		}

		@Override
		public void received(TrackedUpstream sending) {
		}

		@Override
		public long nanosAfter(Duration delay) {
			return System.nanoTime() + delay.toNanos();
		}

	}

}
