import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Rule LOST: items whose answer is lost on the way are listed when finishS is over. The runner has run them; a part of
 * the answer arrives, the rest and its end never do, and the connection stays open.
 */
final class LostAnswer {

	private static final int JOBS = 12;

	private static final int ITEMS = 10;

	private static final int EVENTS = 60;

	/** The item, counted from 1, whose answer is lost: one of 120 answers. */
	private static final int LOST_ITEM = 45;

	private static final double FINISH_S = 18;

	private LostAnswer() {
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
			Set<String> lost = ConcurrentHashMap.newKeySet();
			fleet.configure(7);
			fleet.runners(4, 8, EVENTS, 20, (request, event) -> "cut sheet line " + event);
			for (Runner runner : fleet.runners) {
				// Only the first run: a second one would be whole.
				runner.plan = (request) -> lost.remove(request) ? Runner.Outcome.ANSWER_LOST : Runner.Outcome.WHOLE;
			}
			fleet.start(2, 2);
			List<Jobs.Job> jobs = new ArrayList<>();
			int items = 0;
			for (int n = 0; n < JOBS; n++) {
				Jobs.Job job = new Jobs.Job(String.format("7c41e0%010x", n));
				byte[] body = Jobs.body(job, ITEMS, 1_500, 120);
				for (String item : job.items) {
					if (++items == LOST_ITEM && trouble) {
						lost.add(item);
					}
				}
				if (!Jobs.submit(fleet, job, body, n, 5)) {
					record.say("batch job %s was not accepted", job.id);
					return 2;
				}
				jobs.add(job);
				Store.pause(1_390);
			}
			double until = record.seconds() + FINISH_S + 2;
			for (int turn = 0; record.seconds() < until && !jobs.stream().allMatch((job) -> job.done); turn++) {
				for (Jobs.Job job : jobs) {
					if (!job.done) {
						Jobs.read(fleet, job, turn);
					}
				}
				Store.pause(500);
			}
			return judge(fleet, record, jobs);
		}
		catch (Exception ex) {
			record.say("cannot run: %s", ex);
			return 2;
		}
	}

	private static int judge(Fleet fleet, Record record, List<Jobs.Job> jobs) {
		double lastEnd = 0;
		int working = 0;
		int runs = 0;
		int lost = 0;
		Set<String> ran = new HashSet<>();
		for (Runner runner : fleet.runners) {
			working += runner.running.get();
			for (Runner.Run run : runner.runs) {
				runs++;
				lastEnd = Math.max(lastEnd, run.to);
				if (run.whole) {
					ran.add(run.id);
				}
				if (run.outcome == Runner.Outcome.ANSWER_LOST) {
					lost++;
					record.line("runner %s: ran %s after event %d from %.3f to %.3f, %s, last event %d", run.runner, run.id,
							run.after, run.from, run.to, run.outcome, run.lastEvent);
				}
			}
		}
		List<String> open = jobs.stream().flatMap((job) -> job.open().stream()).toList();
		open.forEach((item) -> record.line("not listed: %s, run to its end at a runner: %s", item, ran.contains(item)));
		record.say("items %d, not listed %d, runs %d, answers lost %d, last run ended at %.1f, at work now %d",
				JOBS * ITEMS, open.size(), runs, lost, lastEnd, working);
		if (open.isEmpty()) {
			record.say("held: every item is listed");
			return 0;
		}
		if (working > 0 || record.seconds() - lastEnd <= 5) {
			record.say("not judged: runners were still at work in the last 5 s");
			return 2;
		}
		record.say("BROKEN: %d items are not listed; no runner had an item in the last %.1f s", open.size(),
				record.seconds() - lastEnd);
		return 1;
	}

}
