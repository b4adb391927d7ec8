import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Batch jobs are handed in for some time at the usual rate, with bursts or without, run
 * and read. Then small jobs are handed in.
 */
final class History {

	private static final int BURSTS = Integer.getInteger("bursts", 8);

	/** 0.72 jobs a second. */
	private static final long USUAL_PAUSE_MILLIS = 1_389;

	/** Six times as many. */
	private static final long BURST_PAUSE_MILLIS = 231;

	private static final long BURST_MILLIS = 3_000;

	private static final long CALM_MILLIS = 3_000;

	/** Keeps the run short if the store and the entries become slow. */
	private static final long HAND_IN_END_MILLIS = 56_000;

	private static final int SMALL_JOBS = 3;

	private final Record record;

	private final Fleet fleet;

	private final boolean trouble;

	private String base;

	private final Map<String, Integer> items = new LinkedHashMap<>();

	/** The results that were read, or -1 once all were. */
	private final Map<String, Integer> listed = new LinkedHashMap<>();

	private History(Record record, boolean trouble) throws Exception {
		this.record = record;
		this.fleet = new Fleet(record);
		this.trouble = trouble;
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0], "record.txt"));
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		History test = null;
		try {
			test = new History(record, trouble);
			result = test.run();
		}
		catch (Exception ex) {
			record.line("could not run: %s", ex);
			ex.printStackTrace();
		}
		finally {
			if (test != null) {
				test.fleet.close();
			}
		}
		record.line("exit %d", result);
		System.exit(result);
	}

	private int run() throws Exception {
		List<Fleet.Machine> storage = new ArrayList<>();
		Fleet.Machine entry = this.fleet.add("entry", 0);
		for (int n = 0; n < 2; n++) {
			storage.add(this.fleet.add("batch", n));
		}
		List<Runner> runners = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			Runner runner = new Runner(this.record, this.fleet.store, "i-7f3a91c" + n, "127.0.0.1",
					this.fleet.runnerPort(n), "huvo11a", "z-a", "v1", 1);
			runner.listen();
			runner.register(false);
			runners.add(runner);
		}
		this.fleet.configure(7, "huvo11a", "huvo11a");
		this.fleet.start(entry);
		for (Fleet.Machine machine : storage) {
			this.fleet.start(machine);
		}
		this.fleet.awaitReady(entry);
		this.base = "http://" + entry.ip + ":" + this.fleet.front();
		Thread.sleep(2_000);

		List<String> jobs = new ArrayList<>();
		for (int n = 0; n < BURSTS; n++) {
			handIn(jobs, BURST_MILLIS, this.trouble ? BURST_PAUSE_MILLIS : USUAL_PAUSE_MILLIS);
			handIn(jobs, CALM_MILLIS, USUAL_PAUSE_MILLIS);
		}
		long end = this.record.millis() + 5_000;
		while (!done(jobs) && this.record.millis() < end) {
			read(jobs);
			Thread.sleep(200);
		}
		long open = jobs.stream().filter((id) -> this.listed.get(id) >= 0).count();
		this.record.line("%d jobs handed in, %d not done", jobs.size(), open);

		List<String> small = new ArrayList<>();
		for (int n = 0; n < SMALL_JOBS; n++) {
			Thread.sleep(1_500);
			String id = Calls.id();
			if (!submit(id, Calls.job(id, 10, 15_000, 5), 10)) {
				return 2;
			}
			small.add(id);
		}
		jobs.addAll(small);
		// finishS is 18 s.
		long handedIn = this.record.millis();
		while (this.record.millis() - handedIn < 18_000 + 5_000 && !done(jobs)) {
			read(jobs);
			Thread.sleep(500);
		}
		for (Fleet.Machine machine : storage) {
			this.record.line("%s ended by itself %d times", machine.name, machine.ownEnds);
		}
		return judge(jobs, runners);
	}

	/**
	 * Applies the rule LOST of batch jobs at the end of finishS: an item that is not
	 * listed, of a job of which no runner had an item for 5 s, while no more was finished
	 * than the rule excuses.
	 */
	private int judge(List<String> jobs, List<Runner> runners) {
		long now = this.record.millis();
		Map<String, Long> lastRuns = new LinkedHashMap<>();
		int runsOf3s = 0;
		int runsOf5s = 0;
		for (Runner runner : runners) {
			for (Runner.Run run : runner.runs()) {
				lastRuns.merge(run.request().substring(0, 12), run.atMillis(), Math::max);
				runsOf3s += (now - run.atMillis() < 3_000) ? 1 : 0;
				runsOf5s += (now - run.atMillis() < 5_000) ? 1 : 0;
			}
		}
		int waiting = 0;
		int lost = 0;
		for (String id : jobs) {
			int position = this.listed.get(id);
			if (position >= 0) {
				int open = this.items.get(id) - position;
				long last = lastRuns.getOrDefault(id.substring(0, 12), 0L);
				waiting += open;
				lost += (now - last >= 5_000) ? open : 0;
				this.record.line("job %s accepted, %d of %d items not listed, last run at %d", id, open,
						this.items.get(id), last);
			}
		}
		boolean excused = runsOf3s > 0 && runsOf5s >= waiting / 10;
		this.record.line("%d items of %d jobs not listed at the end of finishS, %d of them at no runner for 5 s;"
				+ " runs in the last 3 s: %d, 5 s: %d", waiting, jobs.size(), lost, runsOf3s, runsOf5s);
		return (lost > 0 && !excused) ? 1 : 0;
	}

	private void handIn(List<String> jobs, long millis, long pause) throws Exception {
		long began = this.record.millis();
		for (int n = 0; n * pause < millis && this.record.millis() < HAND_IN_END_MILLIS; n++) {
			String id = Calls.id();
			if (submit(id, Calls.job(id, 200, 15_000, 2), 200)) {
				jobs.add(id);
			}
			if (n % 4 == 0) {
				read(jobs);
			}
			Thread.sleep(Math.max(0, began + Math.min(millis, (n + 1) * pause) - this.record.millis()));
		}
	}

	private boolean submit(String id, byte[] body, int items) throws Exception {
		for (int attempt = 0; attempt < 6; attempt++) {
			int status = 0;
			try {
				status = Calls.call("POST", this.base + "/pule252/" + id, body, 6_000, "Host", Fleet.HOST, "X-Request-Id",
						id, "Content-Type", "application/json").status();
			}
			catch (IOException ex) {
				this.record.line("job %s: %s", id, ex);
			}
			this.record.line("job %s sent items=%d bytes=%d answered %d", id, items, body.length, status);
			if (status == 202) {
				this.listed.put(id, 0);
				this.items.put(id, items);
				return true;
			}
			Thread.sleep(500);
		}
		return false;
	}

	private void read(List<String> jobs) throws Exception {
		for (String id : jobs) {
			if (this.listed.get(id) >= 0) {
				try {
					JsonNode page = Calls.results(this.base, id, this.listed.get(id));
					if (page.has("total")) {
						int next = page.path("nextToken").asInt();
						if (next != this.listed.get(id)) {
							this.record.line("job %s listed %d of %d", id, next, page.path("total").asInt());
						}
						this.listed.put(id, (next == page.path("total").asInt()) ? -1 : next);
					}
				}
				catch (IOException ex) {
					this.record.line("read of %s failed: %s", id, ex);
				}
			}
		}
	}

	private boolean done(List<String> jobs) {
		return jobs.stream().allMatch((id) -> this.listed.get(id) < 0);
	}

}
