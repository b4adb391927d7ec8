import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two services, and clients of the first one only. A runner is added to the second one,
 * whose id has the same 32-bit hash as the id of a runner of the first one. Counts the
 * requests that the runners of the second service run.
 */
final class SameKey {

	/** Their String.hashCode() is equal. */
	private static final String[] SAME = { "i-948f3f85", "i-993efe19" };

	private static final int CLIENTS = 20;

	private SameKey() {
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
		if (SAME[0].hashCode() != SAME[1].hashCode()) {
			record.line("the ids have different hashes");
			return 2;
		}
		Fleet.Machine entry = fleet.add("entry", 0);
		List<Fleet.Machine> storage = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			storage.add(fleet.add("batch", n));
		}
		List<Runner> first = new ArrayList<>();
		List<Runner> second = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			first.add(new Runner(record, fleet.store, (n == 0) ? SAME[0] : "i-7f3a91c" + n, "127.0.0.1",
					fleet.runnerPort(n), "huvo11a", "z-a", "v1", 20));
			second.add(new Runner(record, fleet.store, (n < 2) ? "i-50d2b66" + n : trouble ? SAME[1] : "i-50d2b66" + n,
					"127.0.0.1", fleet.runnerPort(3 + n), "qexi07b", "z-a", "v1", 20));
		}
		List<Runner> all = new ArrayList<>(first);
		all.addAll(second);
		for (Runner runner : all) {
			runner.firstMillis = 100;
			runner.listen();
		}
		first.forEach((runner) -> runner.register(false));
		second.subList(0, 2).forEach((runner) -> runner.register(false));
		fleet.configure(7, "huvo11a", "qexi07b");
		fleet.start(entry);
		for (Fleet.Machine machine : storage) {
			fleet.start(machine);
		}
		fleet.awaitReady(entry);
		String base = "http://" + entry.ip + ":" + fleet.front();
		Thread.sleep(3_000);
		Set<String> sent = ConcurrentHashMap.newKeySet();
		AtomicInteger complete = new AtomicInteger();
		ExecutorService clients = Executors.newCachedThreadPool();
		long end = record.millis() + 15_000;
		for (int n = 0; n < CLIENTS; n++) {
			int number = n;
			clients.submit(() -> {
				while (record.millis() < end) {
					String id = Calls.id();
					sent.add(id);
					String prompt = Integer.toHexString(0x5c1e07a2 + number) + ":100," + id + ":250";
					Calls.Stream stream = Calls.stream(base, id, 27, 5_000, prompt);
					record.line("client stream %s status=%d events=%d end=%s", id, stream.status(), stream.data().size(),
							stream.end());
					if (stream.status() == 200 && stream.end().equals("complete")) {
						complete.incrementAndGet();
					}
				}
				return null;
			});
		}
		Thread.sleep(5_000);
		record.line("%d streams complete before a runner is added to the second service", complete.get());
		second.get(2).register(false);
		Thread.sleep(Math.max(0, end - record.millis()));
		clients.shutdown();
		clients.awaitTermination(8, TimeUnit.SECONDS);
		long right = first.stream().flatMap((runner) -> runner.runs().stream()).count();
		long wrong = second.stream()
			.flatMap((runner) -> runner.runs().stream())
			.filter((run) -> sent.contains(run.request()))
			.count();
		record.line("%d streams complete; runs at runners of the route's service: %d, of the other service: %d",
				complete.get(), right, wrong);
		if (right < CLIENTS) {
			return 2;
		}
		return (wrong > 0) ? 1 : 0;
	}

}
