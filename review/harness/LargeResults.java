import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Rule LOST: results of a batch job that runners have finished are listed when finishS is over. The machine that
 * lists them is partitioned from the store for some seconds, so that finished results pile up; the texts are not ASCII.
 */
final class LargeResults {

	private static final int ITEMS = 200;

	private static final int EVENTS = 188;

	/** 25 characters of three bytes: the 75 bytes of an event on the sheet. */
	private static final String TEXT = "\u5e45\u4e8c\u767e\u4e09\u5341\u30fb\u4e08\u4e00\u767e\u4e5d\u5341\u30fb"
			+ "\u7a93\u306e\u5de6\u5074\u306b\u53d6\u308a\u4ed8\u3051\u308b\u5e03\u5730\u3002";

	private static final long CUT_MILLIS = 5_500;

	private static final double FINISH_S = 18;

	private LargeResults() {
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
		try (Fleet fleet = new Fleet(record)) {
			record.say("trouble: %s", trouble);
			fleet.configure(7);
			fleet.runners(8, 8, EVENTS, 15, (request, event) -> TEXT);
			fleet.start(2, 2);
			Jobs.Job job = new Jobs.Job("7c41e09b52d6a3f8");
			if (!Jobs.submit(fleet, job, Jobs.body(job, ITEMS, 1_500, 400), 0, 5)) {
				record.say("the batch job was not accepted");
				return 2;
			}
			long end = System.currentTimeMillis() + 20_000;
			while (job.listed.isEmpty() && System.currentTimeMillis() < end) {
				Jobs.read(fleet, job, 1);
				Store.pause(100);
			}
			record.say("client: %d of %d results listed", job.listed.size(), ITEMS);
			if (trouble) {
				fleet.store.cut(owner(fleet), CUT_MILLIS);
			}
			double until = record.seconds() + 20 + FINISH_S;
			int turn = 0;
			while (record.seconds() < until && !job.done) {
				int status = Jobs.read(fleet, job, turn++);
				record.line("client: read of results, status %d, %d listed", status, job.listed.size());
				Store.pause(500);
			}
			return judge(fleet, record, job);
		}
		catch (Exception ex) {
			record.say("cannot run: %s", ex);
			return 2;
		}
	}

	/** Returns the machine that wrote results last. */
	private static String owner(Fleet fleet) throws Fleet.CannotRun {
		return Optional.ofNullable(fleet.store.lastWriter("ragworthook-results"))
			.orElseThrow(() -> new Fleet.CannotRun("no results were written"));
	}

	private static int judge(Fleet fleet, Record record, Jobs.Job job) {
		Map<String, Integer> runs = new HashMap<>();
		Set<String> finished = new HashSet<>();
		double lastEnd = 0;
		int working = 0;
		for (Runner runner : fleet.runners) {
			working += runner.running.get();
			for (Runner.Run run : runner.runs) {
				runs.merge(run.id, 1, Integer::sum);
				record.line("runner %s: ran %s after event %d from %.3f to %.3f, whole %s, last event %d", run.runner,
						run.id, run.after, run.from, run.to, run.whole, run.lastEvent);
				if (run.whole) {
					finished.add(run.id);
					lastEnd = Math.max(lastEnd, run.to);
				}
			}
		}
		fleet.store.summary().forEach((line) -> record.line("store: %s", line));
		List<String> open = job.open();
		open.forEach((item) -> record.line("not listed: %s, finished at a runner: %s", item, finished.contains(item)));
		long wrong = job.outputs.entrySet()
			.stream()
			.filter((result) -> !result.getValue().equals(String.join("\n", java.util.Collections.nCopies(EVENTS, TEXT))))
			.count();
		record.say("items %d, listed %d, finished at runners %d, last finished at %.1f, at work now %d, runs %d, "
				+ "listed with another text %d", ITEMS, job.listed.size(), finished.size(), lastEnd, working,
				runs.values().stream().mapToInt(Integer::intValue).sum(), wrong);
		long kept = open.stream().filter(finished::contains).count();
		boolean quiet = working == 0 && record.seconds() - lastEnd > 5;
		if (open.isEmpty()) {
			record.say("held: every item is listed");
			return 0;
		}
		if (!quiet) {
			record.say("not judged: runners were still at work in the last 5 s");
			return 2;
		}
		record.say("BROKEN: %d items are not listed, %d of them were finished at a runner; no runner had an item of the "
				+ "job in the last %.1f s", open.size(), kept, record.seconds() - lastEnd);
		return 1;
	}

}
