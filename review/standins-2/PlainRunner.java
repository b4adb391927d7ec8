import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A model runner whose answers have neither a length nor chunks and end with their
 * connection, or chunks. A request with the poison part crashes it when it has written the
 * first event: it resets all connections and is back after some seconds, with a new id.
 */
final class PlainRunner {

	private static final int SLOTS = 8;

	private static final int QUEUE = 24;

	private static final AtomicInteger STARTS = new AtomicInteger();

	private final Record record;

	private final Store store;

	private final String host;

	private final int port;

	private final String service;

	private final String poisonPart;

	private final boolean chunked;

	private final long eventMillis;

	private final long downMillis;

	private final Set<String> begun;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger present = new AtomicInteger();

	private volatile ServerSocket server;

	private volatile Semaphore slots;

	private volatile String id;

	private volatile boolean up;

	PlainRunner(Record record, Store store, String host, int port, String service, String poisonPart, boolean chunked,
			long eventMillis, long downMillis, Set<String> begun) {
		this.record = record;
		this.store = store;
		this.host = host;
		this.port = port;
		this.service = service;
		this.poisonPart = poisonPart;
		this.chunked = chunked;
		this.eventMillis = eventMillis;
		this.downMillis = downMillis;
		this.begun = begun;
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void start() throws IOException {
		this.id = String.format(Locale.ROOT, "i-%08x", 0x7f3a9100 + STARTS.incrementAndGet() * 0x01000193);
		this.slots = new Semaphore(SLOTS, true);
		this.present.set(0);
		ServerSocket opened = new ServerSocket();
		opened.setReuseAddress(true);
		opened.bind(new java.net.InetSocketAddress(InetAddress.getByName(this.host), this.port), 256);
		this.server = opened;
		this.up = true;
		daemon(() -> accept(opened, this.id));
		ObjectNode spec = Store.JSON.createObjectNode();
		spec.put("service", this.service).put("address", this.host + ":" + this.port).put("zone", "z-a");
		spec.put("version", "v1").put("slots", SLOTS).put("state", "ready").put("coldRemainingMs", 0);
		spec.put("stage", "both").put("sequence", 1);
		ObjectNode model = spec.putArray("models").addObject();
		model.put("name", "m").put("version", 1).putArray("adapters");
		this.store.put("servers", this.id, spec);
		this.record.line("runner %s listens and is registered", this.id);
	}

	/**
	 * Crashes: resets all connections, is back later under a new id. The old entry goes
	 * after three heartbeat intervals.
	 */
	synchronized void crash(String reason) {
		if (!this.up) {
			return;
		}
		this.up = false;
		String old = this.id;
		this.record.line("runner %s crashes (%s) running=%d", old, reason, this.present.get());
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
		for (Socket socket : this.sockets) {
			reset(socket);
		}
		this.sockets.clear();
		daemon(() -> {
			try {
				Thread.sleep(this.downMillis);
				start();
				Thread.sleep(Math.max(0, 3_600 - this.downMillis));
				this.store.remove("servers", old);
			}
			catch (IOException | InterruptedException ex) {
				this.record.line("runner not started again: %s", ex);
			}
		});
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	private void accept(ServerSocket from, String as) {
		try {
			while (true) {
				Socket socket = from.accept();
				socket.setTcpNoDelay(true);
				this.sockets.add(socket);
				daemon(() -> serve(socket, as));
			}
		}
		catch (IOException ex) {
			// Closed by the crash.
		}
	}

	private void serve(Socket socket, String as) {
		try {
			boolean more = true;
			while (more) {
				more = exchange(socket, as);
			}
			socket.close();
		}
		catch (IOException | InterruptedException ex) {
			reset(socket);
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private static String head(InputStream in) throws IOException {
		ByteArrayOutputStream head = new ByteArrayOutputStream();
		int last4 = 0;
		while (last4 != 0x0d0a0d0a) {
			int next = in.read();
			if (next < 0) {
				return "";
			}
			head.write(next);
			last4 = (last4 << 8) | next;
		}
		return head.toString(StandardCharsets.ISO_8859_1);
	}

	private boolean exchange(Socket socket, String as) throws IOException, InterruptedException {
		InputStream in = socket.getInputStream();
		String head = head(in);
		if (head.isEmpty()) {
			return false;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line : head.split("\r\n")) {
			int colon = line.indexOf(':');
			if (colon > 0) {
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
			}
		}
		in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		String request = headers.getOrDefault("x-request-id", "");
		OutputStream out = socket.getOutputStream();
		if (!as.equals(headers.getOrDefault("x-expect-instance", as))) {
			refuse(out, 421, request, as);
			return true;
		}
		if (this.present.incrementAndGet() > SLOTS + QUEUE) {
			this.present.decrementAndGet();
			refuse(out, 503, request, as);
			return true;
		}
		Semaphore taken = this.slots;
		taken.acquire();
		try {
			return run(out, headers, request, as);
		}
		finally {
			taken.release();
			this.present.decrementAndGet();
		}
	}

	private static void refuse(OutputStream out, int status, String request, String as) throws IOException {
		out.write(("HTTP/1.1 " + status + " Refused\r\nX-Not-Executed: 1\r\nX-Request-Id: " + request
				+ "\r\nX-Instance-Id: " + as + "\r\nContent-Length: 0\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private boolean run(OutputStream out, Map<String, String> headers, String request, String as)
			throws IOException, InterruptedException {
		long from = Long.parseLong(headers.getOrDefault("last-event-id", "0"));
		String usage = headers.get("x-token-usage");
		long events = Long.parseLong(usage.substring(usage.indexOf(',') + 1).trim());
		boolean poison = headers.getOrDefault("x-prompt-prefix", "").contains(this.poisonPart + ":");
		this.begun.add(request);
		this.record.line("runner %s run %s from=%d poison=%b", as, request, from, poison);
		out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + request
				+ "\r\nX-Response-Signature: sig." + as + "." + request
				+ (this.chunked ? "\r\nTransfer-Encoding: chunked\r\n\r\n" : "\r\nConnection: close\r\n\r\n"))
			.getBytes(StandardCharsets.ISO_8859_1));
		for (long event = from + 1; event <= events; event++) {
			Thread.sleep(this.eventMillis);
			byte[] bytes = ("id: " + event + "\ndata: " + request + "-" + event + "-v1\n\n")
				.getBytes(StandardCharsets.UTF_8);
			if (this.chunked) {
				out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			}
			out.write(bytes);
			if (this.chunked) {
				out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
			}
			out.flush();
			if (poison) {
				crash("request with the poison part");
				throw new IOException("crashed");
			}
		}
		if (this.chunked) {
			out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			out.flush();
		}
		return this.chunked;
	}

}
