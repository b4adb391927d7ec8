import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A model runner. It answers each request with a stream of as many events as the request
 * allows tokens; the data of an event names the request, the number and the runner's
 * version.
 */
final class Runner {

	private static final int SLOTS = 8;

	private static final int QUEUE = 24;

	private final Record record;

	private final Store store;

	final String id;

	final String host;

	final int port;

	private final String service;

	private final String zone;

	private final long eventMillis;

	private final List<Run> runs = new ArrayList<>();

	private final AtomicInteger present = new AtomicInteger();

	/** The time to the first token. */
	volatile long firstMillis;

	/** Whether the head of an answer is sent before the first token. */
	volatile boolean headFirst;

	private volatile String version;

	private volatile long born;

	private HttpServer server;

	private ExecutorService threads;

	private Semaphore slots;

	/** One run, as the runner saw it. */
	record Run(String request, long atMillis, long resumedAfter, String version) {
	}

	Runner(Record record, Store store, String id, String host, int port, String service, String zone, String version,
			long eventMillis) {
		this.record = record;
		this.store = store;
		this.id = id;
		this.host = host;
		this.port = port;
		this.service = service;
		this.zone = zone;
		this.version = version;
		this.eventMillis = eventMillis;
	}

	/** Starts to listen, without an entry in the store. */
	synchronized void listen() throws IOException {
		this.born = System.currentTimeMillis();
		this.slots = new Semaphore(SLOTS, true);
		this.present.set(0);
		this.server = HttpServer.create(new InetSocketAddress(this.host, this.port), 256);
		this.threads = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		});
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
		this.record.line("runner %s listens version=%s", this.id, this.version);
	}

	/** Writes the entry of this start. */
	void register(boolean withBorn) {
		ObjectNode spec = Store.JSON.createObjectNode();
		spec.put("service", this.service).put("address", this.host + ":" + this.port).put("zone", this.zone);
		spec.put("version", this.version).put("slots", SLOTS).put("state", "ready").put("coldRemainingMs", 0);
		spec.put("stage", "both").put("sequence", 1);
		if (withBorn) {
			spec.put("born", this.born);
		}
		ObjectNode model = spec.putArray("models").addObject();
		model.put("name", "m").put("version", 1).putArray("adapters");
		this.store.put("servers", this.id, spec);
		this.record.line("runner %s registered version=%s born=%d", this.id, this.version, this.born);
	}

	/** Ends as in a crash: all connections are closed at once. */
	synchronized void crash() {
		this.record.line("runner %s crashes running=%d", this.id, this.present.get());
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	void version(String newer) {
		this.version = newer;
	}

	List<Run> runs() {
		synchronized (this.runs) {
			return List.copyOf(this.runs);
		}
	}

	int present() {
		return this.present.get();
	}

	private void handle(HttpExchange exchange) throws IOException {
		long start = this.born;
		String runs = this.version;
		byte[] body = exchange.getRequestBody().readAllBytes();
		String path = exchange.getRequestURI().getPath();
		exchange.getResponseHeaders().set("X-Instance-Id", this.id);
		if (path.equals("/healthz")) {
			answer(exchange, 200, "");
			return;
		}
		if (path.equals("/report")) {
			ObjectNode report = Store.JSON.createObjectNode();
			report.put("stage", "both").put("busy", false).put("sequence", 0).put("born", start);
			report.put("waiting", Math.max(0, this.present.get() - SLOTS)).put("running", this.present.get());
			report.put("kvUsed", 0).put("kvTotal", 147261).put("handles", 0);
			answer(exchange, 200, report.toString());
			return;
		}
		String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
		String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
		exchange.getResponseHeaders().set("X-Request-Id", String.valueOf(request));
		if (request == null || (expected != null && !expected.equals(this.id))) {
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			answer(exchange, (request == null) ? 400 : 421, "");
			return;
		}
		if (this.present.incrementAndGet() > SLOTS + QUEUE) {
			this.present.decrementAndGet();
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			answer(exchange, 503, "");
			return;
		}
		Semaphore taken = this.slots;
		boolean begun = false;
		try {
			taken.acquire();
			begun = true;
			run(exchange, request, runs, body);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			if (begun) {
				taken.release();
			}
			this.present.decrementAndGet();
			exchange.close();
		}
	}

	private void run(HttpExchange exchange, String request, String runs, byte[] body)
			throws IOException, InterruptedException {
		String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
		long from = (last != null) ? Long.parseLong(last.trim()) : 0;
		String usage = exchange.getRequestHeaders().getFirst("X-Token-Usage");
		long events = Long.parseLong(usage.substring(usage.indexOf(',') + 1).trim());
		long at = this.record.millis();
		synchronized (this.runs) {
			this.runs.add(new Run(request, at, from, runs));
		}
		this.record.line("runner %s run %s from=%d events=%d bytes=%d version=%s", this.id, request, from, events,
				body.length, runs);
		exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
		exchange.getResponseHeaders().set("X-Response-Signature", "sig." + this.id + "." + request);
		exchange.getResponseHeaders().set("X-Weight-Versions", "1");
		if (!this.headFirst) {
			Thread.sleep(this.firstMillis);
		}
		exchange.sendResponseHeaders(200, 0);
		OutputStream out = exchange.getResponseBody();
		out.flush();
		if (this.headFirst) {
			Thread.sleep(this.firstMillis);
		}
		String end = "broken";
		try {
			for (long event = from + 1; event <= events; event++) {
				Thread.sleep(this.eventMillis);
				out.write(("id: " + event + "\ndata: " + request + "-" + event + "-" + runs + "\n\n")
					.getBytes(StandardCharsets.UTF_8));
				out.flush();
			}
			out.close();
			end = "complete";
		}
		finally {
			if (!end.equals("complete")) {
				this.record.line("runner %s run-end %s %s", this.id, request, end);
			}
		}
	}

	private static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
		if (bytes.length > 0) {
			exchange.getResponseBody().write(bytes);
		}
		exchange.close();
	}

}
