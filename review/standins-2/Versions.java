import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A runner crashes and starts again under its id, with other software; its next heartbeat
 * states that. Counts the streams that hold events of two versions.
 */
final class Versions {

	private static final int EVENTS = 27;

	private static final long EVENT_MILLIS = 50;

	private static final long PAUSE_MILLIS = 40;

	/** One of them crashes: a sixth, less than the share of 0.17. */
	private static final int RUNNERS = 6;

	private static final long DOWN_MILLIS = Long.getLong("down", 1_300);

	/** Less than heartbeatMs, 1200. */
	private static final long HEARTBEAT_MILLIS = Long.getLong("beat", 1_000);

	private Versions() {
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
		for (int n = 0; n < RUNNERS; n++) {
			Runner runner = new Runner(record, fleet.store, "i-7f3a91c" + n, "127.0.0.1", fleet.runnerPort(n),
					"huvo11a", "z-a", "v1", EVENT_MILLIS);
			runner.listen();
			runner.register(true);
			runners.add(runner);
		}
		fleet.configure(7, "huvo11a", "huvo11a");
		fleet.start(entry);
		fleet.start(storage);
		fleet.awaitReady(entry);
		Thread.sleep(2_000);
		String base = "http://" + entry.ip + ":" + fleet.front();
		ExecutorService clients = Executors.newCachedThreadPool();
		List<Calls.Stream> streams = new ArrayList<>();
		long began = record.millis();
		boolean crashed = false;
		boolean back = false;
		boolean registered = false;
		Runner runner = runners.get(RUNNERS - 1);
		for (int number = 0; record.millis() - began < 15_000; number++) {
			String id = Calls.id();
			int n = number;
			clients.submit(() -> {
				Calls.Stream stream = Calls.stream(base, id, EVENTS, 5_000, Integer.toHexString(0x5c1e07a2 + n % 40) + ":100," + id + ":250");
				synchronized (streams) {
					streams.add(stream);
				}
				record.line("client stream %s status=%d events=%d versions=%s end=%s", id, stream.status(),
						stream.data().size(), versions(stream), stream.end());
				return null;
			});
			long next = began + (n + 1) * PAUSE_MILLIS;
			Thread.sleep(Math.max(0, next - record.millis()));
			long age = record.millis() - began;
			if (trouble && !crashed && age >= 5_000) {
				crashed = true;
				runner.crash();
				runner.version("v2");
			}
			if (crashed && !back && age >= 5_000 + DOWN_MILLIS) {
				back = true;
				runner.listen();
			}
			if (back && !registered && age >= 5_000 + DOWN_MILLIS + HEARTBEAT_MILLIS) {
				registered = true;
				runner.register(true);
			}
		}
		clients.shutdown();
		clients.awaitTermination(8, TimeUnit.SECONDS);
		long mixed;
		long complete;
		synchronized (streams) {
			mixed = streams.stream().filter((stream) -> versions(stream).size() > 1).count();
			complete = streams.stream()
				.filter((stream) -> stream.status() == 200 && stream.data().size() == EVENTS
						&& stream.end().equals("complete"))
				.count();
			record.line("%d streams, %d complete, %d with events of two versions", streams.size(), complete, mixed);
			if (complete < streams.size() / 2) {
				return 2;
			}
		}
		return (mixed > 2) ? 1 : 0;
	}

	private static Set<String> versions(Calls.Stream stream) {
		return stream.data().stream().map((data) -> data.substring(data.lastIndexOf('-') + 1)).collect(Collectors.toSet());
	}

}
