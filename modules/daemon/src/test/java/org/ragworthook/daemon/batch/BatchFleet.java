package org.ragworthook.daemon.batch;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stored;
import org.ragworthook.daemon.entry.RequestReader;
import org.ragworthook.daemon.entry.UpstreamDirectory;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.http.Metrics;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.daemon.settings.SettingsReader;
import org.ragworthook.daemon.sidecar.SidecarProcess;
import org.ragworthook.standin.engine.EngineSettings;
import org.ragworthook.standin.engine.ModelEngine;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;

/**
 * The batch parts of entries, a sidecar and an engine in one process.
 */
final class BatchFleet implements AutoCloseable {

	static final String KEY = "key-of-peachtree";

	static final String OTHER_KEY = "key-of-fiestas";

	private static final FailureDomain DOMAIN = FailureDomain.of("region", "domain");

	private final Closer closer = Closer.empty();

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(1));

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final HttpClient client = HttpClient.newHttpClient();

	private final List<Instance> listed;

	BatchFleet(Duration tokenTime) {
		this.closer.add(() -> this.vertx.close().toCompletionStage().toCompletableFuture().join());
		ModelEngine engine = new ModelEngine(0,
				EngineSettings.builder()
					.models(List.of("m"))
					.slots(4)
					.tokenTime(tokenTime, Duration.ZERO)
					.prefillTime(Duration.ZERO)
					.build());
		engine.deploy(this.vertx).toCompletionStage().toCompletableFuture().join();
		SidecarProcess sidecar = this.closer.add(SidecarProcess.start(settings("sidecar", """
				, "upstream": {"url": "http://127.0.0.1:%d", "service": "desk", "initialLimit": 4, "maxLimit": 4}
				""".formatted(engine.port()))));
		Address link = sidecar.linkAddress();
		this.listed = List.of(new Instance("s", Role.SIDECAR, "desk", DOMAIN, link, false));
	}

	private static DaemonSettings settings(String role, String more) {
		return SettingsReader.parse("test", """
				{"role": "%s", "instance": "i", "region": "region", "failureDomain": "domain",
				 "http": "127.0.0.1:0", "link": "127.0.0.1:0",
				 "platform": {"objects": "127.0.0.1:1", "instances": "127.0.0.1:1"},
				 "limits": {"shards": 2, "leaseMillis": 2000, "drainMillis": 1}%s}
				""".formatted(role, more));
	}

	private static Contract contract() {
		return Contract.parse(1, """
				{"name": "test",
				 "regions": [{"name": "region", "failureDomains": ["domain"]}],
				 "services": [
				  {"name": "desk", "type": "model", "failureDomains": ["domain"], "upstreams": 1,
				   "models": [{"name": "m", "version": "v1",
				               "replicas": {"min": 1, "max": 1, "failureDomains": 1}}]}],
				 "accounts": [{"name": "peachtree", "keys": ["%s"]}, {"name": "fiestas", "keys": ["%s"]}]}
				""".formatted(KeyHash.of(KEY).text(), KeyHash.of(OTHER_KEY).text()));
	}

	Entry entry(String name) {
		return this.closer.add(new Entry(name));
	}

	/**
	 * Removes the object of a kind that is last by name.
	 */
	void removeLast(Kind kind) {
		List<Stored> objects = this.store.list(kind, Labels.empty()).join().objects();
		Stored last = objects.get(objects.size() - 1);
		this.store.delete(last.key(), last.version()).join();
	}

	static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end > 0) {
				throw new AssertionError("what must happen has not happened");
			}
			try {
				TimeUnit.MILLISECONDS.sleep(5);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	/**
	 * The batch part of an entry with its own HTTP server.
	 */
	final class Entry implements AutoCloseable {

		final BatchPart batch;

		private final Closer own = Closer.empty();

		private final HttpServer server;

		private Entry(String name) {
			BatchFleet fleet = BatchFleet.this;
			DaemonSettings settings = settings("entry", "");
			MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
			this.own.add(loops::shutdownGracefully);
			Instance self = new Instance(name, Role.ENTRY, "", DOMAIN, settings.link(), false);
			UpstreamDirectory directory = this.own
				.add(UpstreamDirectory.follow(fleet.vertx, self, () -> CompletableFuture.completedFuture(fleet.listed),
						Duration.ofMillis(20), loops, LinkOptions.of(),
						(lane) -> Hello.newBuilder().setLane(lane).setInstance(name).build(), new Ignoring()));
			RequestReader reader = RequestReader.of(() -> Optional.of(contract()), InstantSource.system());
			ErrorResponses errors = ErrorResponses.of(Metrics.of(settings));
			this.batch = this.own.add(BatchPart.start(fleet.vertx, settings, name, fleet.store, directory, reader,
					() -> Optional.of(contract()), errors));
			Router router = Router.router(fleet.vertx);
			this.batch.mount(router);
			errors.mount(router);
			this.server = fleet.vertx.createHttpServer().requestHandler(router);
			this.server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
		}

		HttpResponse<String> call(String method, String path, String type, String body, String key) {
			HttpRequest request = HttpRequest
				.newBuilder(URI.create("http://127.0.0.1:" + this.server.actualPort() + path))
				.method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
				.header("Authorization", "Bearer " + key)
				.header("Content-Type", type)
				.build();
			try {
				return BatchFleet.this.client.send(request, BodyHandlers.ofString());
			}
			catch (IOException ex) {
				throw new AssertionError("the call broke", ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new AssertionError("interrupted", ex);
			}
		}

		int port() {
			return this.server.actualPort();
		}

		HttpResponse<String> get(String path) {
			return call("GET", path, "application/json", "", KEY);
		}

		HttpResponse<String> upload(String lines) {
			return call("POST", "/v1/files", "application/jsonl", lines, KEY);
		}

		JsonObject createBatch(String file) {
			JsonObject body = new JsonObject().put("input_file_id", file)
				.put("endpoint", "/v1/chat/completions")
				.put("completion_window", "24h");
			return new JsonObject(call("POST", "/v1/batches", "application/json", body.encode(), KEY).body());
		}

		JsonObject batch(String id) {
			return new JsonObject(get("/v1/batches/" + id).body());
		}

		JsonObject awaitStatus(String id, String status) {
			await(() -> batch(id).getString("status").equals(status));
			return batch(id);
		}

		@Override
		public void close() {
			this.own.close();
		}

	}

	/**
	 * A control lane on which nothing is done.
	 */
	private static final class Ignoring implements LinkListener {

		@Override
		public void opened(Link link) {
			// Tests of batch send no control frames.
		}

		@Override
		public void received(Link link, Frame frame) {
			// Tests of batch send no control frames.
		}

		@Override
		public void closed(Link link) {
			// Tests of batch send no control frames.
		}

	}

}
