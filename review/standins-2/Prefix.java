import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Requests with a part that crashes runners come among sound ones with the same first
 * part. Then three runners crash by themselves, once. Compares how many sound requests
 * begin at the first attempt before and long after that. The runners' answers have neither
 * a length nor chunks.
 */
final class Prefix {

	private static final String FIRST_PART = "5c1e07a2";

	private static final String POISON_PART = "91bd3f06";

	private static final int RUNNERS = 18;

	/** A sixth of the runners, less than the share of 0.17. */
	private static final int CRASHED = 3;

	private static final int CLIENTS = 48;

	private static final long STABLE_WINDOW_MILLIS = 3_000;

	private Prefix() {
	}

	private record Attempt(long sentMillis, boolean began, int status) {
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
		Set<String> begun = ConcurrentHashMap.newKeySet();
		List<PlainRunner> runners = new ArrayList<>();
		for (int n = 0; n < RUNNERS; n++) {
			PlainRunner runner = new PlainRunner(record, fleet.store, "127.0.0.1", fleet.runnerPort(n), "huvo11a",
					POISON_PART, Boolean.getBoolean("chunked"), 30, 2_500, begun);
			runner.start();
			runners.add(runner);
		}
		fleet.configure(7, "huvo11a", "huvo11a");
		fleet.start(entry);
		fleet.start(storage);
		fleet.awaitReady(entry);
		String base = "http://" + entry.ip + ":" + fleet.front();
		Thread.sleep(2_000);
		List<Attempt> attempts = new ArrayList<>();
		ExecutorService clients = Executors.newCachedThreadPool();
		long began = record.millis();
		long end = began + 50_000;
		for (int n = 0; n < CLIENTS; n++) {
			clients.submit(() -> {
				while (record.millis() < end) {
					String id = Calls.id();
					String second = id.substring(0, 6);
					long sent = record.millis();
					Calls.Stream stream = Calls.stream(base, id, 27, 5_000, FIRST_PART + ":100," + second + ":100," + id + ":250");
					synchronized (attempts) {
						attempts.add(new Attempt(sent, begun.contains(id), stream.status()));
					}
					record.line("client stream %s status=%d events=%d end=%s", id, stream.status(), stream.data().size(),
							stream.end());
					Thread.sleep((stream.status() == 200) ? 100 : 900);
				}
				return null;
			});
		}
		clients.submit(() -> {
			Thread.sleep(8_000);
			while (record.millis() < end) {
				String id = Calls.id();
				Calls.Stream stream = Calls.stream(base, id, 27, 5_000,
						FIRST_PART + ":100," + POISON_PART + ":100," + id + ":250");
				record.line("client with the poison part %s status=%d ran=%b", id, stream.status(), begun.contains(id));
				Thread.sleep(1_000);
			}
			return null;
		});
		Thread.sleep(25_000);
		if (trouble) {
			for (int n = 0; n < CRASHED; n++) {
				runners.get(n).crash("by itself");
			}
		}
		long crashed = record.millis();
		Thread.sleep(Math.max(0, end - record.millis()));
		clients.shutdown();
		clients.awaitTermination(8, TimeUnit.SECONDS);
		int[] before = count(attempts, 0, began + 8_000);
		int[] between = count(attempts, crashed - 8_000, crashed - 2_000);
		int[] after = count(attempts, crashed + 2 * STABLE_WINDOW_MILLIS, end);
		record.line("sound requests with the same first part that begin at the first attempt: %d of %d before the"
				+ " poison part comes, %d of %d before the crash of three runners, %d of %d from 6 s after it",
				before[0], before[1], between[0], between[1], after[0], after[1]);
		if (before[1] < 20 || after[1] < 20) {
			return 2;
		}
		return (2.0 * after[0] / after[1] < 1.0 * before[0] / before[1]) ? 1 : 0;
	}

	private static int[] count(List<Attempt> attempts, long from, long to) {
		int[] counts = new int[2];
		synchronized (attempts) {
			for (Attempt attempt : attempts) {
				if (attempt.sentMillis >= from && attempt.sentMillis < to) {
					counts[1]++;
					counts[0] += attempt.began ? 1 : 0;
				}
			}
		}
		return counts;
	}

}
