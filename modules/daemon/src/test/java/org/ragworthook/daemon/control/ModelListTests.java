package org.ragworthook.daemon.control;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.order.OrderFence;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.daemon.engine.UpstreamClient;
import org.ragworthook.daemon.fake.ScriptedServer;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests what a sidecar takes for the list of the models that its engine holds.
 */
class ModelListTests {

	private static final String LIST = "{\"data\":[{\"id\":\"m\",\"version\":\"2\"}]}";

	private static final int WAIT_SECONDS = 20;

	private Vertx vertx;

	@BeforeEach
	void start() {
		this.vertx = Vertx.vertx();
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private CompletableFuture<List<String>> models(UpstreamClient client) {
		return new SidecarOrders(this.vertx.getOrCreateContext(), client,
				OrderFence.of(MemoryObjectStore.empty(), SidecarControl.RECONCILER))
			.models()
			.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	private static Throwable failure(CompletableFuture<?> call) {
		return call.handle((result, failure) -> failure).join();
	}

	/** Guards against models that count as loaded though the engine sent no answer. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 200 OK\r\nX-No te: 1",
			"HTTP/1.1 200 OK\r\nX-Note: HTTP/1.1 500 Failed", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip" })
	void shouldNotReadAMalformedList(String head) throws IOException {
		try (ScriptedServer engine = ScriptedServer.start((request) -> {
			request.send(head + "\r\nContent-Length: " + LIST.length() + "\r\n\r\n" + LIST);
			return true;
		}); UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			assertThat(failure(models(client))).isNotNull();
		}
	}

	@Test
	void shouldReadTheList() throws IOException {
		try (ScriptedServer engine = ScriptedServer.start((request) -> {
			request.send("HTTP/1.1 200\r\nContent-Length: " + LIST.length() + "\r\n\r\n" + LIST);
			return true;
		}); UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			assertThat(models(client).join()).containsExactly("m@2");
		}
	}

	/**
	 * Guards against a list without end that is kept until the process runs out of
	 * memory.
	 */
	@Test
	void shouldEndAListWithoutEnd() throws IOException {
		AtomicLong sent = new AtomicLong();
		try (ScriptedServer engine = ScriptedServer.start((request) -> {
			request.send("HTTP/1.1 200 OK\r\n\r\n");
			request.sendWithoutEnd("x", sent);
			return false;
		}); UpstreamClient client = UpstreamClient.of(this.vertx, engine.url(), 1)) {
			assertThat(failure(models(client))).isNotNull();
			assertThat(sent.get()).isLessThan(ScriptedServer.ENDLESS_BYTES);
		}
	}

}
