import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule MIXED: an item of a batch job is not given up before maxAttempts answers of 500. Some items get 500 at their
 * first and third run; of these answers a few come a second time, late.
 */
final class ExtraAnswer {

	private static final int JOBS = 16;

	private static final int ITEMS = 10;

	private static final int EVENTS = 60;

	/** One job of four has an item whose first answer comes twice: 1 answer of some 40. */
	private static final int EXTRA_EACH = 4;

	private static final int MAX_ATTEMPTS = 3;

	private ExtraAnswer() {
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
			Set<String> failing = ConcurrentHashMap.newKeySet();
			Set<String> repeated = ConcurrentHashMap.newKeySet();
			fleet.configure(7);
			fleet.runners(2, 8, EVENTS, 20, (request, event) -> "cut sheet line " + event);
			Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
			for (Runner runner : fleet.runners) {
				runner.runCounts = counts;
				runner.plan = (request, number) -> {
					if (!failing.contains(request) || (number != 1 && number != 3)) {
						return Runner.Outcome.WHOLE;
					}
					return (number == 1 && repeated.contains(request)) ? Runner.Outcome.FAILS_WITH_EXTRA
							: Runner.Outcome.FAILS;
				};
			}
			fleet.start(2, 2);
			List<Jobs.Job> jobs = new ArrayList<>();
			for (int n = 0; n < JOBS; n++) {
				Jobs.Job job = new Jobs.Job(String.format("7c41e0%010x", n));
				byte[] body = Jobs.body(job, ITEMS, 1_500, 120);
				failing.add(job.items.get(0));
				if (trouble && n % EXTRA_EACH == EXTRA_EACH - 1) {
					repeated.add(job.items.get(0));
				}
				if (!Jobs.submit(fleet, job, body, n, 5)) {
					record.say("batch job %s was not accepted", job.id);
					return 2;
				}
				jobs.add(job);
				long end = System.currentTimeMillis() + 15_000;
				for (int turn = n; !job.done && System.currentTimeMillis() < end; turn++) {
					Store.pause(250);
					Jobs.read(fleet, job, turn);
				}
				record.line("client: batch job %s: %s", job.id, job.listed);
			}
			return judge(fleet, record, jobs, failing);
		}
		catch (Exception ex) {
			record.say("cannot run: %s", ex);
			return 2;
		}
	}

	private static int judge(Fleet fleet, Record record, List<Jobs.Job> jobs, Set<String> failing) {
		int answers = 0;
		int extras = 0;
		Set<String> broken = new HashSet<>();
		for (Runner runner : fleet.runners) {
			answers += runner.answers.get();
			extras += runner.extras.get();
		}
		for (Jobs.Job job : jobs) {
			for (String item : job.items) {
				List<Runner.Run> runs = fleet.runners.stream()
					.flatMap((runner) -> runner.runs.stream())
					.filter((run) -> run.id.equals(item))
					.sorted((one, other) -> Double.compare(one.from, other.from))
					.toList();
				long failures = runs.stream().filter((run) -> run.outcome != Runner.Outcome.WHOLE).count();
				if (failing.contains(item) || runs.size() > 1) {
					record.line("item %s: %s, %d answers of 500", item, job.listed.get(item), failures);
					runs.forEach((run) -> record.line("  runner %s from %.3f to %.3f: %s, %s, last event %d", run.runner,
							run.from, run.to, run.outcome, run.whole ? "whole" : "not whole", run.lastEvent));
				}
				if ("dead_lettered".equals(job.listed.get(item)) && failures < MAX_ATTEMPTS) {
					broken.add(item);
				}
			}
		}
		long open = jobs.stream().mapToLong((job) -> job.open().size()).sum();
		record.say("batch jobs %d, items not listed %d, runs %d, answers sent twice %d (%.1f in 100)", jobs.size(), open,
				answers, extras, 100.0 * extras / answers);
		if (!broken.isEmpty()) {
			record.say("BROKEN: dead_lettered before %d answers of 500: %s", MAX_ATTEMPTS, broken);
			return 1;
		}
		if (open > 0) {
			record.say("not judged: some items were not listed in time");
			return 2;
		}
		record.say("held");
		return 0;
	}

}
