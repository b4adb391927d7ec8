package org.ragworthook.standin.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.PlatformSettings;
import org.ragworthook.objectapi.StoreVerb;
import org.ragworthook.standin.ControlClient;
import org.ragworthook.standin.StandInServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link HttpObjectStore} against {@link ObjectApi}.
 */
class HttpObjectStoreTests extends ObjectStoreTests {

	private static final ObjectKey KEY = ObjectKey.of(Kind.JOB, "programme-1");

	private Vertx vertx;

	private HttpObjectStore store;

	private ControlClient control;

	private int port;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
		this.port = new ObjectApi(0).deploy(this.vertx).toCompletionStage().toCompletableFuture().join();
		this.control = new ControlClient(this.port);
		this.store = client(Duration.ofSeconds(20));
	}

	@AfterEach
	void stop() {
		this.store.close();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private HttpObjectStore client(Duration callTimeout) {
		PlatformSettings settings = PlatformSettings.of(new Address(StandInServer.HOST, this.port));
		return HttpObjectStore.of(this.vertx, settings.timeouts(Duration.ofSeconds(5), callTimeout));
	}

	@Override
	ObjectStore store() {
		return this.store;
	}

	@Override
	void endWatches() {
		fault(new JsonObject().put("endWatches", true));
	}

	private void fault(JsonObject change) {
		this.control.post("/control/faults", change);
	}

	// The platform is down and says so. Nothing was written, and the caller may be told
	// that its job was not accepted.
	@Test
	void shouldReportAnOutageAsNoEffect() {
		fault(new JsonObject().put("outage", true));
		assertFails(ErrorCode.STORE_UNAVAILABLE, () -> this.store.create(KEY, Draft.of("1", "a#1")).join());
		assertFails(ErrorCode.STORE_UNAVAILABLE, () -> this.store.read(KEY).join());
		fault(new JsonObject().put("outage", false));
		assertThat(this.store.read(KEY).join().isPresent()).isFalse();
	}

	// Nobody listens at the platform's address, as while its machine is replaced.
	@Test
	void shouldReportARefusedConnectionAsNoEffect() {
		PlatformSettings nobody = PlatformSettings.of(new Address(StandInServer.HOST, 1));
		try (HttpObjectStore lost = HttpObjectStore.of(this.vertx, nobody)) {
			assertFails(ErrorCode.STORE_UNAVAILABLE, () -> lost.create(KEY, Draft.of("1", "a#1")).join());
		}
	}

	// The platform takes a write and its connection breaks before the answer. Reported as
	// a plain failure, an accepted job would be refused to its caller, who sends it
	// again.
	@Test
	void shouldReportALostAnswerToAWriteAsUnknown() {
		fault(new JsonObject().put("loseNext", 1));
		assertFails(ErrorCode.STORE_OUTCOME_UNKNOWN, () -> this.store.create(KEY, Draft.of("1", "a#1")).join());
		assertThat(this.store.read(KEY).join().orElseThrow().draft().stamp()).isEqualTo("a#1");
	}

	// A connection ends in the middle of an answer that has no length. Part of an answer
	// to a write says as little as none.
	@ParameterizedTest
	@ValueSource(strings = { "", "{\"kind\":" })
	void shouldReportAPartOfAnAnswerAsNone(String part) {
		NetServer platform = this.vertx.createNetServer()
			.connectHandler((socket) -> socket
				.handler((request) -> socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + part)
					.onComplete((written) -> socket.close())));
		int broken = platform.listen(0, StandInServer.HOST)
			.toCompletionStage()
			.toCompletableFuture()
			.join()
			.actualPort();
		PlatformSettings settings = PlatformSettings.of(new Address(StandInServer.HOST, broken));
		// A client of its own for each call: a call that finds the connection of the one
		// before just closed is rightly reported as not sent.
		assertPart(settings, ErrorCode.STORE_OUTCOME_UNKNOWN, (cutOff) -> cutOff.create(KEY, Draft.of("1", "a#1")));
		assertPart(settings, ErrorCode.STORE_OUTCOME_UNKNOWN, (cutOff) -> cutOff.update(KEY, Draft.of("1", "a#1"), 1));
		assertPart(settings, ErrorCode.STORE_OUTCOME_UNKNOWN, (cutOff) -> cutOff.delete(KEY, 1));
		assertPart(settings, ErrorCode.STORE_UNAVAILABLE, (cutOff) -> cutOff.read(KEY));
		assertPart(settings, ErrorCode.STORE_UNAVAILABLE, (cutOff) -> cutOff.list(Kind.JOB, Labels.empty()));
	}

	private void assertPart(PlatformSettings settings, ErrorCode code,
			Function<ObjectStore, CompletableFuture<?>> call) {
		try (HttpObjectStore cutOff = HttpObjectStore.of(this.vertx, settings)) {
			assertFails(code, () -> call.apply(cutOff).join());
		}
	}

	// The platform takes no notice of a call until the caller's patience ends.
	@Test
	void shouldReportATimeoutOfAWriteAsUnknownAndOfAReadAsUnavailable() {
		fault(new JsonObject().put("silent", true));
		try (HttpObjectStore impatient = client(Duration.ofMillis(100))) {
			assertFails(ErrorCode.STORE_OUTCOME_UNKNOWN, () -> impatient.create(KEY, Draft.of("1", "a#1")).join());
			assertFails(ErrorCode.STORE_UNAVAILABLE, () -> impatient.read(KEY).join());
		}
	}

	// Answers to several writes in a row are lost. The writer settles each by reading
	// back,
	// so that the job is there once and its version is the one that the writer holds.
	@Test
	void shouldSettleLostAnswersByReadingBack() {
		ConditionalWriter writer = ConditionalWriter.of(this.store, Stamps.of("entry-1"));
		fault(new JsonObject().put("loseNext", 2));
		Stored created = writer.create(KEY, "1", Labels.empty()).join();
		Stored updated = writer.update(created, "2").join();
		assertThat(this.store.read(KEY).join().orElseThrow()).isEqualTo(updated);
	}

	@Test
	void shouldReportTheRateLimitAsNoEffect() {
		fault(new JsonObject().put("writesPerSecond", 0.0));
		assertFails(ErrorCode.STORE_RATE_LIMITED, () -> this.store.create(KEY, Draft.of("1", "a#1")).join());
		assertThat(this.store.read(KEY).join().isPresent()).isFalse();
	}

	// The platform has dropped the history that a watch would go on from. Going on
	// regardless would skip changes; the watch ends and the caller lists anew.
	@Test
	void shouldEndAWatchThatWouldHaveAGap() throws InterruptedException {
		this.store.create(KEY, Draft.of("1", "a#1")).join();
		fault(new JsonObject().put("forgetHistory", true));
		BlockingQueue<String> ended = new LinkedBlockingQueue<>();
		this.store.watch(Kind.JOB, Labels.empty(), 0, (event) -> ended.add("event"), () -> ended.add("ended"));
		assertThat(ended.poll(10, TimeUnit.SECONDS)).isEqualTo("ended");
	}

	// A watch is armed while the platform is down; told nothing, its owner would wait for
	// ever.
	@Test
	void shouldEndAWatchDuringAnOutage() throws InterruptedException {
		fault(new JsonObject().put("outage", true));
		BlockingQueue<String> ended = new LinkedBlockingQueue<>();
		this.store.watch(Kind.JOB, Labels.empty(), 0, (event) -> ended.add("event"), () -> ended.add("ended"));
		assertThat(ended.poll(10, TimeUnit.SECONDS)).isEqualTo("ended");
	}

	// Guards against changes that are missed for minutes, because the events of a watch
	// were
	// lost together with the response to another call and its connection stays open.
	@Test
	void shouldEndAWatchThatWasOpenWhenACallGotNoResponse() throws InterruptedException {
		BlockingQueue<String> ended = new LinkedBlockingQueue<>();
		try (HttpObjectStore impatient = client(Duration.ofMillis(100))) {
			impatient.watch(Kind.JOB, Labels.empty(), 0, (event) -> ended.add("event"), () -> ended.add("ended"));
			fault(new JsonObject().put("silent", true));
			assertFails(ErrorCode.STORE_UNAVAILABLE, () -> impatient.read(KEY).join());
			assertThat(ended.poll(10, TimeUnit.SECONDS)).isEqualTo("ended");
		}
	}

	// Guards against changes that are missed for minutes, because the platform's machine
	// vanished and a call got no connection, while that of a watch stays open.
	@Test
	void shouldEndAWatchThatWasOpenWhenACallGotNoConnection() throws Exception {
		BlockingQueue<String> ended = new LinkedBlockingQueue<>();
		List<Socket> waiting = new ArrayList<>();
		try (ServerSocket platform = new ServerSocket(0, 1, InetAddress.getByName(StandInServer.HOST));
				HttpObjectStore impatient = HttpObjectStore.of(this.vertx,
						PlatformSettings.of(new Address(StandInServer.HOST, platform.getLocalPort()))
							.timeouts(Duration.ofMillis(300), Duration.ofSeconds(5)))) {
			impatient.watch(Kind.JOB, Labels.empty(), 0, (event) -> ended.add("event"), () -> ended.add("ended"));
			try (Socket watch = platform.accept()) {
				watch.getOutputStream()
					.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				fillBacklog(platform, waiting);
				assertFails(ErrorCode.STORE_UNAVAILABLE, () -> impatient.read(KEY).join());
				assertThat(ended.poll(10, TimeUnit.SECONDS)).isEqualTo("ended");
			}
		}
		finally {
			for (Socket socket : waiting) {
				socket.close();
			}
		}
	}

	private static void fillBacklog(ServerSocket server, List<Socket> waiting) throws IOException {
		try {
			while (waiting.size() < 10) {
				Socket socket = new Socket();
				waiting.add(socket);
				socket.connect(server.getLocalSocketAddress(), 200);
			}
		}
		catch (SocketTimeoutException ex) {
			// no further connection is taken
		}
	}

	@ParameterizedTest
	@EnumSource(value = StoreVerb.class, names = { "READ", "CREATE", "DELETE", "LIST" })
	void shouldCountAsThePlatformCounts(StoreVerb verb) {
		Stored stored = this.store.create(KEY, Draft.of("1", "a#1")).join();
		this.store.read(KEY).join();
		this.store.list(Kind.JOB, Labels.empty()).join();
		this.store.delete(KEY, stored.version()).join();
		JsonObject counts = this.control.get("/control/counts").getJsonObject("byVerb");
		assertThat(counts.getLong(verb.name())).isEqualTo(this.store.calls().count(verb));
		assertThat(this.store.calls().count(verb)).isEqualTo(1);
	}

}
