import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A stand-in of the platform's metadata store: objects by kind and name, one revision counter, conditional calls,
 * listings in pages, watches with a history of 20 s, the rates and the object size that the settings state.
 */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	static final int VALUE_BYTES = 1_048_576;

	private static final int WRITES_PER_S = 400;

	private static final int READS_PER_S = 2_000;

	private static final long HISTORY_MILLIS = 20_000;

	private static final int PAGE_OBJECTS = 500;

	private static final int PAGE_BYTES = 1_000_000;

	private static final long KEEP_ALIVE_MILLIS = 3_000;

	private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();

	private final Deque<Event> history = new ArrayDeque<>();

	private final Deque<Long> writes = new ArrayDeque<>();

	private final Deque<Long> reads = new ArrayDeque<>();

	private final Record record;

	private long revision = 1;

	private long forgotten;

	private final Map<String, String> lastWriters = new ConcurrentHashMap<>();

	/** Calls by what they did and their status. */
	final Map<String, Integer> counts = new TreeMap<>();

	/** The addresses of the store by the machine that uses them. */
	private final Map<String, MiniHttp> addresses = new ConcurrentHashMap<>();

	/** The machines that are partitioned from the store. */
	private final Set<String> cutOff = ConcurrentHashMap.newKeySet();

	Store(Record record) {
		this.record = record;
	}

	/** Opens an address at which one machine reaches the store. */
	int open(String machine) throws IOException {
		MiniHttp opened = MiniHttp.start("127.0.0.1", (call) -> {
			if (this.cutOff.contains(machine)) {
				swallow(machine, call);
			}
			else {
				handle(machine, call);
			}
		});
		this.addresses.put(machine, opened);
		return opened.port();
	}

	/**
	 * Partitions a machine from the store for some time: what it sends is lost, and it hears nothing. After three
	 * seconds its open connections end, as they do by the keep-alive probes that the programs have set.
	 */
	void cut(String machine, long millis) {
		this.record.say("%s is partitioned from the store", machine);
		this.cutOff.add(machine);
		pause(Math.min(millis, KEEP_ALIVE_MILLIS));
		this.addresses.get(machine).closeConnections();
		pause(Math.max(0, millis - KEEP_ALIVE_MILLIS));
		this.cutOff.remove(machine);
		this.record.say("%s is partitioned no longer", machine);
	}

	private void swallow(String machine, MiniHttp.Exchange call) {
		this.record.line("store: %s %s of %s is lost", call.method, call.path, machine);
		while (this.cutOff.contains(machine) && !call.peerClosed()) {
			pause(50);
		}
		call.cutOff();
	}

	synchronized void put(String kind, String name, JsonNode spec) {
		Entry old = kind(kind).get(name);
		save(kind, name, spec, old);
	}

	/** Removes an entry, as the platform does with that of a runner that is silent. */
	synchronized void take(String kind, String name) {
		remove(kind, name);
	}

	private void remove(String kind, String name) {
		Entry old = kind(kind).remove(name);
		if (old != null) {
			this.revision++;
			event(kind, old, true);
		}
	}

	private TreeMap<String, Entry> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (name) -> new TreeMap<>());
	}

	private Entry save(String kind, String name, JsonNode spec, Entry old) {
		this.revision++;
		Entry entry = new Entry(name, this.revision, (old != null) ? old.createRevision : this.revision, spec,
				(old != null) ? old.status : null);
		kind(kind).put(name, entry);
		event(kind, entry, false);
		return entry;
	}

	private void event(String kind, Entry entry, boolean deleted) {
		long now = System.currentTimeMillis();
		this.history.addLast(new Event(kind, this.revision, entry, deleted, now));
		while (!this.history.isEmpty() && now - this.history.peekFirst().millis > HISTORY_MILLIS) {
			this.forgotten = this.history.removeFirst().revision;
		}
		notifyAll();
	}

	private synchronized boolean overRate(Deque<Long> calls, int limit) {
		long now = System.currentTimeMillis();
		while (!calls.isEmpty() && now - calls.peekFirst() >= 1_000) {
			calls.removeFirst();
		}
		if (calls.size() >= limit) {
			return true;
		}
		calls.addLast(now);
		return false;
	}

	private void handle(String machine, MiniHttp.Exchange call) throws IOException {
		String[] parts = call.path.split("/");
		String kind = (parts.length > 2) ? parts[2] : "";
		String name = (parts.length > 3) ? parts[3] : "";
		boolean read = "GET".equals(call.method);
		boolean watch = read && call.query.containsKey("watch");
		if (!watch) {
			pause(4);
		}
		if (!call.query.containsKey("staleOk")
				&& overRate(read ? this.reads : this.writes, read ? READS_PER_S : WRITES_PER_S)) {
			answer(call, kind, 429, null);
			return;
		}
		if (watch) {
			watch(machine, call, kind, Long.parseLong(call.query.get("watch")),
					Long.parseLong(call.query.getOrDefault("waitMs", "0")));
		}
		else if (read && name.isEmpty()) {
			answer(call, kind, 200, list(kind, call.query.getOrDefault("after", "")));
		}
		else if (read) {
			Entry found;
			synchronized (this) {
				found = kind(kind).get(name);
			}
			answer(call, kind, (found != null) ? 200 : 404, (found != null) ? found.json() : null);
		}
		else {
			write(call, kind, name, parts.length > 4);
			this.lastWriters.put(kind, machine);
		}
	}

	String lastWriter(String kind) {
		return this.lastWriters.get(kind);
	}

	private void write(MiniHttp.Exchange call, String kind, String named, boolean status) throws IOException {
		JsonNode document = (call.body.length > 0) ? JSON.readTree(call.body) : JSON.createObjectNode();
		JsonNode spec = document.path("spec");
		// The text alone, without what its encoding adds.
		JsonNode value = spec.path("value");
		int bytes = value.isTextual() ? value.textValue().getBytes(StandardCharsets.UTF_8).length
				: JSON.writeValueAsBytes(spec).length;
		if (bytes > VALUE_BYTES) {
			this.record.line("store: %s %s/%s refused with 413: %d bytes, at most %d", call.method, kind,
					"POST".equals(call.method) ? document.path("metadata").path("name").asText() : named, bytes,
					VALUE_BYTES);
			answer(call, kind, 413, null);
			return;
		}
		int code;
		ObjectNode result = null;
		synchronized (this) {
			String name = "POST".equals(call.method) ? document.path("metadata").path("name").asText() : named;
			Entry old = kind(kind).get(name);
			JsonNode expected = document.path("metadata").path("revision");
			long wanted = call.query.containsKey("revision") ? Long.parseLong(call.query.get("revision"))
					: expected.asLong(-1);
			if ("POST".equals(call.method)) {
				code = (old != null) ? 409 : 201;
				result = (old != null) ? old.json() : save(kind, name, spec, null).json();
			}
			else if (old == null) {
				code = 404;
			}
			else if (wanted >= 0 && wanted != old.revision) {
				code = 409;
				result = old.json();
			}
			else if ("DELETE".equals(call.method)) {
				code = 200;
				remove(kind, name);
			}
			else if (status) {
				code = 200;
				old.status = document.path("status");
				result = save(kind, name, old.spec, old).json();
			}
			else {
				code = 200;
				result = (old.spec.equals(spec) ? old : save(kind, name, spec, old)).json();
			}
		}
		answer(call, kind, code, result);
	}

	private synchronized ObjectNode list(String kind, String after) {
		ObjectNode page = JSON.createObjectNode();
		ArrayNode items = page.putArray("items");
		int bytes = 0;
		boolean more = false;
		for (Entry entry : kind(kind).tailMap(after, false).values()) {
			if (items.size() >= PAGE_OBJECTS || (items.size() > 0 && bytes + entry.bytes > PAGE_BYTES)) {
				more = true;
				break;
			}
			bytes += entry.bytes;
			items.add(entry.json());
		}
		return page.put("hasMore", more).put("storeRevision", this.revision);
	}

	private void watch(String machine, MiniHttp.Exchange call, String kind, long after, long waitMillis)
			throws IOException {
		long end = System.currentTimeMillis() + Math.min(waitMillis, 30_000);
		ObjectNode answer = JSON.createObjectNode();
		ArrayNode events = answer.putArray("events");
		int code = 200;
		synchronized (this) {
			while (true) {
				if (after < this.forgotten) {
					code = 410;
					break;
				}
				for (Event event : this.history) {
					if (event.revision > after && event.kind.equals(kind)) {
						events.addObject().put("deleted", event.deleted).set("object", event.entry.json());
					}
				}
				long left = end - System.currentTimeMillis();
				if (events.size() > 0 || left <= 0) {
					break;
				}
				try {
					wait(Math.min(left, 200));
				}
				catch (InterruptedException ex) {
					return;
				}
			}
			answer.put("storeRevision", this.revision);
		}
		if (this.cutOff.contains(machine)) {
			swallow(machine, call);
			return;
		}
		answer(call, kind, code, (code == 200) ? answer : null);
	}

	private void answer(MiniHttp.Exchange call, String kind, int status, ObjectNode body) throws IOException {
		synchronized (this.counts) {
			this.counts.merge(call.method + " " + kind + " " + status, 1, Integer::sum);
		}
		call.respond(status, Map.of("Content-Type", "application/json"),
				(body != null) ? JSON.writeValueAsBytes(body) : "{}".getBytes(StandardCharsets.UTF_8));
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static final class Entry {

		private final String name;

		private final long revision;

		private final long createRevision;

		private final JsonNode spec;

		private final int bytes;

		private JsonNode status;

		Entry(String name, long revision, long createRevision, JsonNode spec, JsonNode status) {
			this.name = name;
			this.revision = revision;
			this.createRevision = createRevision;
			this.spec = spec;
			this.status = status;
			this.bytes = 200 + (spec.path("value").isTextual() ? spec.path("value").textValue().length()
					: spec.toString().length());
		}

		ObjectNode json() {
			ObjectNode object = JSON.createObjectNode();
			ObjectNode metadata = object.putObject("metadata");
			metadata.put("name", this.name).put("revision", this.revision).put("createRevision", this.createRevision);
			metadata.putArray("finalizers");
			metadata.put("deleting", false);
			object.set("spec", this.spec);
			object.set("status", this.status);
			return object;
		}

	}

	private record Event(String kind, long revision, Entry entry, boolean deleted, long millis) {
	}

	List<String> summary() {
		List<String> lines = new ArrayList<>();
		synchronized (this.counts) {
			this.counts.forEach((what, count) -> lines.add(what + ": " + count));
		}
		return lines;
	}

}
