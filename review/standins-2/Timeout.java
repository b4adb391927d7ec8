import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator shortens a route's timeout. Counts the kept connections that the entry
 * closes without an answer after it has passed the request on.
 */
final class Timeout {

	private static final int CLIENTS = 6;

	private Timeout() {
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0], "record.txt"));
		int result = 2;
		Fleet fleet = null;
		try {
			fleet = new Fleet(record);
			result = run(record, fleet, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			record.line("could not run: %s", ex);
			ex.printStackTrace();
		}
		finally {
			if (fleet != null) {
				fleet.close();
			}
		}
		record.line("exit %d", result);
		System.exit(result);
	}

	private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
		Fleet.Machine entry = fleet.add("entry", 0);
		Fleet.Machine storage = fleet.add("batch", 0);
		List<Runner> runners = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			Runner runner = new Runner(record, fleet.store, "i-7f3a91c" + n, "127.0.0.1", fleet.runnerPort(n),
					"huvo11a", "z-a", "v1", 20);
			runner.firstMillis = 900;
			runner.headFirst = true;
			runner.listen();
			runner.register(false);
			runners.add(runner);
		}
		fleet.configure(7, "huvo11a", "huvo11a");
		fleet.start(entry);
		fleet.start(storage);
		fleet.awaitReady(entry);
		Thread.sleep(2_000);
		AtomicInteger closed = new AtomicInteger();
		AtomicInteger answered = new AtomicInteger();
		ExecutorService clients = Executors.newCachedThreadPool();
		long end = record.millis() + 12_000;
		for (int n = 0; n < CLIENTS; n++) {
			clients.submit(() -> {
				client(record, entry.ip, fleet.front(), end, runners, closed, answered);
				return null;
			});
		}
		Thread.sleep(5_000);
		record.line("%d answers so far", answered.get());
		if (trouble) {
			fleet.configure(9, "huvo11a", "huvo11a", 700);
		}
		clients.shutdown();
		clients.awaitTermination(20, TimeUnit.SECONDS);
		record.line("%d answers, %d kept connections closed without one after the request was passed on", answered.get(),
				closed.get());
		return (closed.get() > 3) ? 1 : 0;
	}

	private static void client(Record record, String ip, int port, long end, List<Runner> runners, AtomicInteger closed,
			AtomicInteger answered) throws IOException, InterruptedException {
		Socket socket = new Socket(ip, port);
		int onConnection = 0;
		while (record.millis() < end) {
			String id = Calls.id();
			socket.getOutputStream()
				.write(("POST /lohu930/2f HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nX-Request-Id: " + id
						+ "\r\nX-Model: m\r\nX-Token-Usage: 450,5\r\nX-Prompt-Prefix: " + id.substring(0, 4) + ":100," + id
						+ ":250\r\nX-Deadline-Ms: 5000\r\nContent-Length: 16\r\n\r\n" + id)
					.getBytes(StandardCharsets.ISO_8859_1));
			long sent = record.millis();
			String answer = read(socket.getInputStream());
			boolean ran = runners.stream().anyMatch((runner) -> runner.runs().stream().anyMatch((run) -> run.request().equals(id)));
			record.line("client request %s on a connection with %d before: %s after %d ms, ran=%b", id, onConnection,
					answer.isEmpty() ? "closed without a byte" : answer.substring(0, 12), record.millis() - sent, ran);
			onConnection++;
			if (answer.isEmpty()) {
				closed.addAndGet((ran && onConnection > 1) ? 1 : 0);
				socket.close();
				socket = new Socket(ip, port);
				onConnection = 0;
				// One answer first, so that the next connection is a kept one.
				Thread.sleep(200);
			}
			else {
				answered.incrementAndGet();
			}
		}
		socket.close();
	}

	/** Reads one answer to its end; empty if the connection is closed before any byte. */
	private static String read(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int next;
		while ((next = in.read()) >= 0) {
			bytes.write(next);
			String text = bytes.toString(StandardCharsets.ISO_8859_1);
			int head = text.indexOf("\r\n\r\n");
			if (head >= 0 && text.endsWith("0\r\n\r\n")) {
				return text;
			}
			int length = text.toLowerCase().indexOf("content-length: ");
			if (head >= 0 && length >= 0) {
				int expected = Integer.parseInt(text.substring(length + 16, text.indexOf('\r', length)).trim());
				if (text.length() >= head + 4 + expected) {
					return text;
				}
			}
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

}
