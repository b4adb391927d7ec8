import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner leaves: its entry is removed, it goes on serving for some seconds, then it
 * exits. Meanwhile the store cuts off watches that have waited for a while. Counts the
 * requests that reach the runner later than drainMs after its entry was removed.
 */
final class Removed {

	private static final int EVENTS = 27;

	private static final long PAUSE_MILLIS = 80;

	private static final long DRAIN_MILLIS = 2_000;

	/** How long the runner serves after its entry is gone: drainMs and a little longer. */
	private static final long SERVES_MILLIS = 5_000;

	private static final long WATCH_LIMIT_MILLIS = 1_500;

	private Removed() {
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
		fleet.resumable = false;
		Fleet.Machine entry = fleet.add("entry", 0);
		Fleet.Machine storage = fleet.add("batch", 0);
		List<Runner> runners = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			Runner runner = new Runner(record, fleet.store, "i-7f3a91c" + n, "127.0.0.1", fleet.runnerPort(n),
					"huvo11a", "z-a", "v1", 30);
			runner.listen();
			runner.register(false);
			runners.add(runner);
		}
		fleet.configure(7, "huvo11a", "huvo11a");
		fleet.start(entry);
		fleet.start(storage);
		fleet.awaitReady(entry);
		Thread.sleep(3_000);
		if (trouble) {
			fleet.store.cutWatchesAfter(entry.storePort, WATCH_LIMIT_MILLIS);
			record.line("watches of %s that wait are cut off after %d ms from now on", entry.name, WATCH_LIMIT_MILLIS);
		}
		String base = "http://" + entry.ip + ":" + fleet.front();
		ExecutorService clients = Executors.newCachedThreadPool();
		AtomicInteger complete = new AtomicInteger();
		AtomicInteger broken = new AtomicInteger();
		Runner leaving = runners.get(2);
		long began = record.millis();
		long removed = 0;
		boolean exited = false;
		int sent = 0;
		while (record.millis() - began < 34_000) {
			String id = Calls.id();
			sent++;
			clients.submit(() -> {
				Calls.Stream stream = Calls.stream(base, id, EVENTS, 5_000, id.substring(0, 4) + ":100," + id + ":250");
				boolean whole = stream.status() == 200 && stream.data().size() == EVENTS && stream.end().equals("complete");
				(whole ? complete : broken).incrementAndGet();
				record.line("client stream %s status=%d events=%d end=%s", id, stream.status(), stream.data().size(),
						stream.end());
				return null;
			});
			long next = began + sent * PAUSE_MILLIS;
			Thread.sleep(Math.max(0, next - record.millis()));
			if (removed == 0 && record.millis() - began >= 24_000) {
				fleet.store.remove("servers", leaving.id);
				removed = record.millis();
				record.line("the entry of runner %s is removed", leaving.id);
			}
			if (removed > 0 && !exited && record.millis() - removed >= SERVES_MILLIS) {
				exited = true;
				leaving.crash();
			}
		}
		clients.shutdown();
		clients.awaitTermination(8, TimeUnit.SECONDS);
		long bound = removed + DRAIN_MILLIS;
		List<Long> late = leaving.runs().stream().map(Runner.Run::atMillis).filter((at) -> at > bound).sorted().toList();
		record.line("%d streams, %d complete, %d not; %d requests began at the runner later than drainMs after its entry"
				+ " was removed%s", sent, complete.get(), broken.get(), late.size(),
				late.isEmpty() ? "" : ", up to " + (late.get(late.size() - 1) - removed) + " ms after");
		if (complete.get() < sent / 2) {
			return 2;
		}
		return late.isEmpty() ? 0 : 1;
	}

}
