import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store. Each machine reaches it at a port of its own, so that it can be
 * silent for single machines.
 */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAX_ITEMS = 500;

	private static final int MAX_PAGE = 1_000_000;

	private static final int VALUE_BYTES = 1 << 20;

	private final String host;

	private final Map<String, NavigableMap<String, ObjectNode>> kinds = new HashMap<>();

	private final List<Event> events = new ArrayList<>();

	private final Map<Integer, Long> silentUntil = new ConcurrentHashMap<>();

	private final List<HttpServer> servers = new ArrayList<>();

	/** After how long waiting watches are cut off, by port; not at all by default. */
	private final Map<Integer, Long> watchLimits = new ConcurrentHashMap<>();

	private long revision = 100;

	Store(String host) {
		this.host = host;
	}

	private record Event(long revision, String kind, ObjectNode object, boolean deleted) {
	}

	/** Opens the port of a machine. */
	void listen(int port) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(this.host, port), 256);
		server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
		server.createContext("/objects/", (exchange) -> handle(exchange, port));
		server.start();
		this.servers.add(server);
	}

	private static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	}

	/**
	 * Is silent for a machine for some time: calls that arrive or are due for an answer
	 * meanwhile get none, then or later, and nothing was done. A connection on which an
	 * answer was lost returns nothing further.
	 */
	void silence(int port, long millis) {
		this.silentUntil.put(port, System.nanoTime() + millis * 1_000_000);
	}

	/** Cuts off the watches of a machine that have waited for some time, in order. */
	void cutWatchesAfter(int port, long millis) {
		this.watchLimits.put(port, millis);
	}

	private boolean silent(int port) {
		Long until = this.silentUntil.get(port);
		return until != null && until - System.nanoTime() > 0;
	}

	// -- calls in this process, by the operator and the runners

	synchronized void put(String kind, String name, JsonNode spec) {
		NavigableMap<String, ObjectNode> all = kind(kind);
		ObjectNode before = all.get(name);
		if (before != null && before.path("spec").equals(spec)) {
			return;
		}
		ObjectNode object = object(name, before);
		object.set("spec", spec);
		changed(kind, name, object, false);
	}

	synchronized void remove(String kind, String name) {
		ObjectNode before = kind(kind).get(name);
		if (before != null) {
			changed(kind, name, before.deepCopy(), true);
		}
	}

	synchronized int count(String kind) {
		return kind(kind).size();
	}

	private NavigableMap<String, ObjectNode> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (name) -> new TreeMap<>());
	}

	private ObjectNode object(String name, ObjectNode before) {
		ObjectNode object = (before != null) ? before.deepCopy() : JSON.createObjectNode();
		if (before == null) {
			ObjectNode metadata = object.putObject("metadata");
			metadata.put("name", name).put("createRevision", this.revision + 1).put("deleting", false);
			metadata.putArray("finalizers");
			object.putNull("status");
		}
		return object;
	}

	private void changed(String kind, String name, ObjectNode object, boolean deleted) {
		this.revision++;
		((ObjectNode) object.path("metadata")).put("revision", this.revision);
		if (deleted) {
			kind(kind).remove(name);
		}
		else {
			kind(kind).put(name, object);
		}
		this.events.add(new Event(this.revision, kind, object, deleted));
		notifyAll();
	}

	// -- calls over HTTP

	private void handle(HttpExchange exchange, int port) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		if (silent(port)) {
			return;
		}
		Answer answer;
		try {
			answer = answer(exchange, body, this.watchLimits.getOrDefault(port, Long.MAX_VALUE / 2_000_000));
		}
		catch (InterruptedException ex) {
			return;
		}
		if (answer == CUT) {
			exchange.close();
			return;
		}
		if (silent(port)) {
			return;
		}
		byte[] bytes = JSON.writeValueAsBytes(answer.body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(answer.status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private record Answer(int status, JsonNode body) {
	}

	/** No answer: the connection is closed. */
	private static final Answer CUT = new Answer(0, JSON.createObjectNode());

	private static Answer empty(int status) {
		return new Answer(status, JSON.createObjectNode());
	}

	private Answer answer(HttpExchange exchange, byte[] body, long watchLimit) throws IOException, InterruptedException {
		String[] path = exchange.getRequestURI().getRawPath().substring("/objects/".length()).split("/");
		String kind = decode(path[0]);
		String name = (path.length > 1) ? decode(path[1]) : null;
		Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
		switch (exchange.getRequestMethod()) {
			case "GET":
				if (name != null) {
					return read(kind, name);
				}
				return query.containsKey("watch") ? watch(kind, query, watchLimit) : list(kind, query.getOrDefault("after", ""));
			case "POST":
				return write(kind, null, JSON.readTree(body), body.length, query, false);
			case "PUT":
				return write(kind, name, JSON.readTree(body), body.length, query, path.length > 2);
			case "DELETE":
				return delete(kind, name, query);
			default:
				return empty(405);
		}
	}

	private static String decode(String text) {
		return URLDecoder.decode(text, StandardCharsets.UTF_8);
	}

	private static Map<String, String> query(String text) {
		Map<String, String> values = new HashMap<>();
		if (text != null) {
			for (String pair : text.split("&")) {
				int at = pair.indexOf('=');
				values.put(decode(pair.substring(0, at)), decode(pair.substring(at + 1)));
			}
		}
		return values;
	}

	private synchronized Answer read(String kind, String name) {
		ObjectNode found = kind(kind).get(name);
		return (found != null) ? new Answer(200, found) : empty(404);
	}

	private synchronized Answer list(String kind, String after) {
		ObjectNode page = JSON.createObjectNode();
		ArrayNode items = page.putArray("items");
		long size = 0;
		boolean more = false;
		for (ObjectNode object : kind(kind).tailMap(after, false).values()) {
			if (items.size() >= MAX_ITEMS || size >= MAX_PAGE) {
				more = true;
				break;
			}
			items.add(object);
			size += object.path("spec").path("value").asText().length() + 300;
		}
		page.put("hasMore", more).put("storeRevision", this.revision);
		return new Answer(200, page);
	}

	private synchronized Answer watch(String kind, Map<String, String> query, long limit) throws InterruptedException {
		long from = Long.parseLong(query.get("watch"));
		long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
		boolean cut = waitMillis > limit;
		long endNanos = System.nanoTime() + Math.min(waitMillis, limit) * 1_000_000;
		while (true) {
			ObjectNode answer = JSON.createObjectNode();
			ArrayNode list = answer.putArray("events");
			for (int i = this.events.size() - 1; i >= 0 && this.events.get(i).revision > from; i--) {
				Event event = this.events.get(i);
				if (event.kind.equals(kind)) {
					ObjectNode entry = JSON.createObjectNode();
					entry.put("deleted", event.deleted).set("object", event.object);
					list.insert(0, entry);
				}
			}
			long left = (endNanos - System.nanoTime()) / 1_000_000;
			if (list.isEmpty() && left <= 0 && cut) {
				return CUT;
			}
			if (!list.isEmpty() || left <= 0) {
				answer.put("storeRevision", this.revision);
				return new Answer(200, answer);
			}
			wait(left);
		}
	}

	private synchronized Answer write(String kind, String named, JsonNode sent, int length, Map<String, String> query,
			boolean status) {
		String name = (named != null) ? named : sent.path("metadata").path("name").asText();
		ObjectNode before = kind(kind).get(name);
		if (length > VALUE_BYTES) {
			return empty(413);
		}
		if (named == null && before != null) {
			return new Answer(409, before);
		}
		if (named != null && before == null) {
			return empty(404);
		}
		String expected = query.getOrDefault("revision", sent.path("metadata").path("revision").asText(""));
		if (named != null && !expected.isEmpty()
				&& !expected.equals(before.path("metadata").path("revision").asText())) {
			return new Answer(409, before);
		}
		ObjectNode object = object(name, before);
		String field = status ? "status" : "spec";
		if (before != null && before.path(field).equals(sent.path(field))) {
			return new Answer(200, before);
		}
		object.set(field, sent.path(field));
		changed(kind, name, object, false);
		return new Answer((named != null) ? 200 : 201, object);
	}

	private synchronized Answer delete(String kind, String name, Map<String, String> query) {
		ObjectNode before = kind(kind).get(name);
		if (before == null) {
			return empty(404);
		}
		String expected = query.getOrDefault("revision", "");
		if (!expected.isEmpty() && !expected.equals(before.path("metadata").path("revision").asText())) {
			return new Answer(409, before);
		}
		changed(kind, name, before.deepCopy(), true);
		return new Answer(200, before);
	}

	void close() {
		this.servers.forEach((server) -> server.stop(0));
	}

}
