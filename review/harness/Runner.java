import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stand-in of a model runner: runs as many requests at once as it has slots, queues a few more, and streams events.
 */
final class Runner {

	/** Makes the data of an event. */
	interface Text {

		String data(String requestId, int event);

	}

	/** How a run ends. */
	enum Outcome {

		/** With all events. */
		WHOLE,

		/** The runner crashes as it begins to write the answer. */
		CRASHES

	}

	/** Decides how the runs of a request end. */
	interface Plan {

		/**
		 * Decides how a run ends.
		 * @param requestId the request
		 * @param prompt the parts of its prompt
		 * @return how it ends
		 */
		Outcome outcome(String requestId, String prompt);

	}

	/** A request that a runner began to run. */
	static final class Run {

		final String runner;

		final String id;

		final long after;

		final double from;

		volatile double to = -1;

		volatile boolean whole;

		volatile int lastEvent;

		volatile Outcome outcome = Outcome.WHOLE;

		Run(String runner, String id, long after, double from) {
			this.runner = runner;
			this.id = id;
			this.after = after;
			this.from = from;
		}

	}

	final String id;

	final List<Run> runs = new CopyOnWriteArrayList<>();

	final AtomicInteger running = new AtomicInteger();

	private final String service;

	private final String zone;

	private final int slots;

	private final int events;

	private final long eventMillis;

	private final Text text;

	private final Record record;

	private final Semaphore free;

	private final AtomicInteger waiting = new AtomicInteger();

	private final MiniHttp http;

	private final String ip;

	private volatile boolean crashed;

	/** Called when a request has crashed the runner. */
	volatile Runnable onCrash = () -> {
	};

	/** Decides how runs end. */
	volatile Plan plan = (requestId, prompt) -> Outcome.WHOLE;

	Runner(String ip, String id, String service, String zone, int slots, int events, long eventMillis, Text text,
			Record record) throws IOException {
		this.ip = ip;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.events = events;
		this.eventMillis = eventMillis;
		this.text = text;
		this.record = record;
		this.free = new Semaphore(slots, true);
		this.http = MiniHttp.start(ip, this::handle);
	}

	/** Returns what the runner writes to the store of itself. */
	ObjectNode entry(String state) {
		ObjectNode entry = Store.JSON.createObjectNode();
		entry.put("service", this.service)
			.put("address", this.ip + ":" + this.http.port())
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", this.slots)
			.put("state", state)
			.put("coldRemainingMs", 0)
			.put("stage", "both");
		entry.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
		return entry.put("sequence", 4);
	}

	private void handle(MiniHttp.Exchange call) throws IOException {
		if ("GET".equals(call.method)) {
			call.respond(200, Map.of("X-Instance-Id", this.id), new byte[0]);
			return;
		}
		String expected = call.headers.get("x-expect-instance");
		String request = call.headers.getOrDefault("x-request-id", "");
		if (expected != null && !expected.equals(this.id)) {
			call.respond(421, Map.of("X-Instance-Id", this.id, "X-Request-Id", request), new byte[0]);
			return;
		}
		if (request.isEmpty() || this.waiting.get() >= 24) {
			call.respond(request.isEmpty() ? 400 : 503, Map.of("X-Not-Executed", "1", "X-Request-Id", request),
					new byte[0]);
			return;
		}
		this.waiting.incrementAndGet();
		try {
			while (!this.free.tryAcquire(20, TimeUnit.MILLISECONDS)) {
				if (call.peerClosed()) {
					call.cutOff();
					return;
				}
			}
		}
		catch (InterruptedException ex) {
			return;
		}
		finally {
			this.waiting.decrementAndGet();
		}
		try {
			run(call, request);
		}
		finally {
			this.free.release();
		}
	}

	private void run(MiniHttp.Exchange call, String request) throws IOException {
		long after = Long.parseLong(call.headers.getOrDefault("last-event-id", "0"));
		Run run = new Run(this.id, request, after, this.record.seconds());
		this.runs.add(run);
		this.running.incrementAndGet();
		run.outcome = this.plan.outcome(request, call.headers.getOrDefault("x-prompt-prefix", ""));
		if (run.outcome != Outcome.WHOLE) {
			this.record.line("runner %s: %s: %s", this.id, request, run.outcome);
		}
		try {
			Map<String, String> head = new LinkedHashMap<>();
			head.put("X-Request-Id", request);
			head.put("X-Response-Signature", "sig-" + this.id + "-" + request);
			head.put("Content-Type", "text/event-stream");
			head.put("X-Weight-Versions", "1");
			call.startChunked(200, head);
			for (int event = (int) after + 1; event <= this.events; event++) {
				Store.pause(this.eventMillis);
				if (call.peerClosed()) {
					call.cutOff();
					return;
				}
				if (run.outcome == Outcome.CRASHES) {
					crash();
					this.onCrash.run();
					return;
				}
				call.chunk(("id: " + event + "\ndata: " + this.text.data(request, event) + "\n\n")
					.getBytes(StandardCharsets.UTF_8));
				run.lastEvent = event;
			}
			call.endChunked();
			run.whole = true;
		}
		finally {
			run.to = this.record.seconds();
			this.running.decrementAndGet();
		}
	}

	String zone() {
		return this.zone;
	}

	/** Ends as a process does that crashes. */
	synchronized void crash() throws IOException {
		this.crashed = true;
		this.http.crash();
	}

	boolean crashed() {
		return this.crashed;
	}

}
