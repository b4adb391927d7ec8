import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rules Fault and LOST: batch processes do not end by themselves, and accepted items are listed, while many batch jobs
 * come at once, are run and are finished.
 */
final class FinishedJobs {

	private static final double USUAL_PER_S = 0.72;

	private static final double BURST_FACTOR = 6;

	private static final double BURST_S = 3;

	private static final double PAUSE_S = 2;

	private static final double TRAFFIC_S = 66;

	private static final double FINISH_S = 18;

	private static final int ITEMS = 10;

	private static final int ITEM_BYTES = 300_000;

	private static final int EVENTS = 20;

	private FinishedJobs() {
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			code = run(record, trouble);
			record.say("exit code %d", code);
		}
		Runtime.getRuntime().halt(code);
	}

	private static int run(Record record, boolean trouble) {
		ExecutorService clients = Executors.newCachedThreadPool();
		try (Fleet fleet = new Fleet(record)) {
			record.say("trouble: %s", trouble);
			fleet.configure(7);
			fleet.runners(13, 8, EVENTS, 20, (request, event) -> "cut sheet line " + event);
			fleet.start(4, 3);
			List<Jobs.Job> jobs = new CopyOnWriteArrayList<>();
			AtomicInteger number = new AtomicInteger();
			double start = record.seconds();
			double next = start;
			while (record.seconds() < start + TRAFFIC_S) {
				double at = (record.seconds() - start) % (BURST_S + PAUSE_S);
				double perS = (trouble && at < BURST_S) ? USUAL_PER_S * BURST_FACTOR : USUAL_PER_S;
				if (record.seconds() >= next) {
					next = record.seconds() + 1 / perS;
					Jobs.Job job = new Jobs.Job(String.format("7c41e0%010x", number.incrementAndGet()));
					clients.execute(() -> client(fleet, job, jobs));
				}
				Store.pause(10);
			}
			record.say("no more batch jobs are sent; %d accepted, %d complete", jobs.size(),
					jobs.stream().filter((job) -> job.done).count());
			double until = record.seconds() + FINISH_S + 2;
			while (record.seconds() < until && !jobs.stream().allMatch((job) -> job.done)) {
				Store.pause(200);
			}
			return judge(fleet, record, jobs);
		}
		catch (Exception ex) {
			record.say("cannot run: %s", ex);
			return 2;
		}
		finally {
			clients.shutdownNow();
		}
	}

	private static void client(Fleet fleet, Jobs.Job job, List<Jobs.Job> accepted) {
		int which = Math.abs(job.id.hashCode());
		byte[] body = Jobs.body(job, ITEMS, ITEM_BYTES, 40);
		if (!Jobs.submit(fleet, job, body, which, 3)) {
			return;
		}
		accepted.add(job);
		while (!job.done && !Thread.currentThread().isInterrupted()) {
			Store.pause(500);
			Jobs.read(fleet, job, which++);
		}
		fleet.record.line("client: batch job %s complete, %d results", job.id, job.listed.size());
	}

	private static int judge(Fleet fleet, Record record, List<Jobs.Job> jobs) {
		double lastRun = 0;
		int working = 0;
		int runs = 0;
		for (Runner runner : fleet.runners) {
			working += runner.running.get();
			for (Runner.Run run : runner.runs) {
				runs++;
				lastRun = Math.max(lastRun, run.to);
			}
		}
		fleet.store.summary().forEach((line) -> record.line("store: %s", line));
		int open = 0;
		for (Jobs.Job job : jobs) {
			open += job.open().size();
			if (!job.done) {
				record.line("batch job %s accepted at %.1f: %d of %d items not listed", job.id, job.acceptedAt,
						job.open().size(), job.items.size());
			}
		}
		List<String> thrice = new ArrayList<>();
		for (Fleet.Node node : fleet.nodes()) {
			record.line("%s ended by itself %d times", node.name, node.ends.size());
			if (node.ends.size() >= 3) {
				thrice.add(node.name);
			}
		}
		record.say("batch jobs accepted %d, items not listed %d, runs %d, last run ended at %.1f, at work now %d, "
				+ "processes that ended by themselves three times %s", jobs.size(), open, runs, lastRun, working, thrice);
		boolean fault = thrice.size() >= 2;
		boolean lost = open > 0 && working == 0 && record.seconds() - lastRun > 5;
		if (fault || lost) {
			record.say("BROKEN:%s%s", fault ? " Fault (two machines, three ends each)" : "",
					lost ? " LOST (items neither completed nor dead_lettered)" : "");
			return 1;
		}
		if (open > 0) {
			record.say("not judged: runners were still at work in the last 5 s");
			return 2;
		}
		record.say("held");
		return 0;
	}

}
