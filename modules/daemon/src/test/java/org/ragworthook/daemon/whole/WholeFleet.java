package org.ragworthook.daemon.whole;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.contract.ContractRepository;
import org.ragworthook.core.contract.OpenJobCounts;
import org.ragworthook.core.contract.Proposal;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.daemon.TestPorts;
import org.ragworthook.daemon.entry.EntryProcess;
import org.ragworthook.daemon.fake.FakeUpstream;
import org.ragworthook.daemon.settings.SettingsReader;
import org.ragworthook.daemon.sidecar.SidecarProcess;
import org.ragworthook.objectapi.HttpObjectStore;
import org.ragworthook.objectapi.PlatformSettings;
import org.ragworthook.standin.StandInServer;
import org.ragworthook.standin.engine.EngineSettings;
import org.ragworthook.standin.engine.ModelEngine;
import org.ragworthook.standin.platform.InstanceListApi;
import org.ragworthook.standin.platform.ObjectApi;

/**
 * A small deployment in one process: the platform's stand-ins, engines, sidecars,
 * entries.
 */
final class WholeFleet implements AutoCloseable {

	/** The key of the account that tests use. */
	static final String KEY = "test-key";

	/** The model that the engines serve. */
	static final String MODEL = "test-model";

	private static final Duration PATIENCE = Duration.ofSeconds(30);

	private final Closer closer = Closer.empty();

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient http = HttpClient.newHttpClient();

	private final int objects;

	private final int instances;

	private final List<URI> entries = new ArrayList<>();

	private final Map<URI, EntryProcess> processes = new HashMap<>();

	private int count;

	WholeFleet(String text) {
		this.closer.add(() -> wait(this.vertx.close()));
		this.objects = deploy(new ObjectApi(0));
		this.instances = deploy(new InstanceListApi(0, Duration.ZERO));
		accept(text);
	}

	private int deploy(StandInServer server) {
		return wait(server.deploy(this.vertx));
	}

	private static <T> T wait(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

	private void accept(String text) {
		HttpObjectStore store = this.closer
			.add(HttpObjectStore.of(this.vertx, PlatformSettings.of(new Address("127.0.0.1", this.objects))));
		ContractRepository
			.of(store, ConditionalWriter.of(store, Stamps.of("test")), () -> Instant.ofEpochSecond(1_000_000_000))
			.accept(new Proposal(text, 0, "test", "first", false), 0, OpenJobCounts.none())
			.join();
	}

	/**
	 * Starts an engine and a sidecar beside it.
	 * @param slots how many requests the engine runs at once
	 */
	void upstream(int slots) {
		upstream(slots, MODEL);
	}

	/**
	 * Starts an engine that has one model loaded, and a sidecar beside it.
	 * @param slots how many requests the engine runs at once
	 * @param model the model
	 */
	void upstream(int slots, String model) {
		ModelEngine engine = new ModelEngine(0,
				EngineSettings.builder()
					.models(List.of(model))
					.slots(slots)
					.tokenTime(Duration.ofMillis(1), Duration.ZERO)
					.build());
		sidecar("http://127.0.0.1:" + deploy(engine), slots);
	}

	/**
	 * Starts an engine whose answers the test gives, and a sidecar beside it.
	 * @param slots how many requests the sidecar sends to it at once
	 * @return the engine
	 */
	FakeUpstream fakeUpstream(int slots) {
		FakeUpstream engine = this.closer.add(FakeUpstream.start(this.vertx));
		sidecar(engine.url(), slots);
		return engine;
	}

	private void sidecar(String engine, int slots) {
		String id = "sidecar-" + this.count++;
		SidecarProcess sidecar = this.closer.add(SidecarProcess.start(SettingsReader.parse(id, """
				{"role": "sidecar", "instance": "%s", "region": "region", "failureDomain": "domain",
				 "http": "127.0.0.1:0", "link": "127.0.0.1:0", %s,
				 "upstream": {"url": "%s", "service": "desk", "initialLimit": %d, "maxLimit": %d},
				 "limits": {"drainMillis": 100}}
				""".formatted(id, platform(), engine, slots, slots))));
		list(id, "sidecar", "desk", sidecar.linkAddress().toString());
	}

	/**
	 * Starts an entry.
	 * @return its base URL
	 */
	URI entry() {
		return entry("http", "");
	}

	/**
	 * Starts an entry with further settings.
	 * @param scheme http or https
	 * @param more further keys of the settings, each with a comma before it
	 * @return its base URL
	 */
	URI entry(String scheme, String more) {
		return entry(scheme, more, Duration.ofMillis(100));
	}

	/**
	 * Starts an entry.
	 * @param scheme http or https
	 * @param more further keys of the settings, each with a comma before it
	 * @param drain how long its stop waits for requests in progress
	 * @return its base URL
	 */
	URI entry(String scheme, String more, Duration drain) {
		String id = "entry-" + this.count++;
		int port = TestPorts.next();
		int link = TestPorts.next();
		EntryProcess process = this.closer.add(EntryProcess.start(SettingsReader.parse(id, """
				{"role": "entry", "instance": "%s", "region": "region", "failureDomain": "domain",
				 "http": "127.0.0.1:%d", "link": "127.0.0.1:%d", %s,
				 "limits": {"drainMillis": %d, "shards": 2, "leaseMillis": 600, "requestBytes": 65536}%s}
				""".formatted(id, port, link, platform(), drain.toMillis(), more))));
		list(id, "entry", "", "127.0.0.1:" + link);
		URI url = URI.create(scheme + "://127.0.0.1:" + port);
		this.entries.add(url);
		this.processes.put(url, process);
		return url;
	}

	/**
	 * Stops an entry as planned.
	 * @param entry its base URL
	 */
	void stop(URI entry) {
		this.processes.get(entry).close();
	}

	private String platform() {
		return "\"platform\": {\"objects\": \"127.0.0.1:%d\", \"instances\": \"127.0.0.1:%d\"}".formatted(this.objects,
				this.instances);
	}

	private void list(String id, String role, String service, String address) {
		JsonObject instance = new JsonObject().put("id", id)
			.put("role", role)
			.put("service", service)
			.put("region", "region")
			.put("failureDomain", "domain")
			.put("address", address)
			.put("state", "live");
		send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.instances + "/control/instances"))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(instance.encode()))
			.build());
	}

	/**
	 * Has the platform's object API fail or work.
	 * @param out whether it is out
	 */
	void outage(boolean out) {
		send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.objects + "/control/faults"))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(new JsonObject().put("outage", out).encode()))
			.build());
	}

	/**
	 * Makes an operator's call.
	 * @param entry base URL of the entry
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param key the bearer key
	 * @param base the version that was edited
	 * @param body what to send
	 * @return the answer
	 */
	HttpResponse<String> operate(URI entry, String method, String path, String key, long base, String body) {
		return send(HttpRequest.newBuilder(entry.resolve(path))
			.header("Authorization", "Bearer " + key)
			.header("If-Match", "\"" + base + "\"")
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build());
	}

	HttpResponse<String> send(HttpRequest request) {
		try {
			return this.http.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	/**
	 * Waits until every entry answers a request, which takes a contract and a link.
	 */
	void awaitServing() {
		String body = "{\"model\": \"" + MODEL
				+ "\", \"max_tokens\": 1, \"messages\": [{\"role\": \"user\", \"content\": \"ready\"}]}";
		this.entries.forEach((entry) -> await(() -> send(HttpRequest.newBuilder(entry.resolve("/v1/chat/completions"))
			.header("Authorization", "Bearer " + KEY)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build()).statusCode() == 200));
	}

	/**
	 * Waits for something that comes sooner or later; only a test that fails waits long.
	 * @param condition what to wait for
	 */
	static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + PATIENCE.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - end > 0) {
				throw new AssertionError("nothing came in " + PATIENCE);
			}
			Thread.onSpinWait();
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

}
