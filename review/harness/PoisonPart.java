import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule BUDGET: requests with a part that crashes runners stop to reach runners soon after the fifth crash. The part
 * stands behind many others, as in a long conversation.
 */
final class PoisonPart {

	private static final String PART = "bad5c1e0";

	/** The parts before the one that crashes runners. */
	private static final int BEFORE = 20;

	private static final double SOUND_PER_S = 30;

	private static final double BAD_PER_S = 2;

	private static final double TRAFFIC_S = 30;

	private static final double STABLE_S = 3;

	private static final long BACK_MILLIS = 3_000;

	private PoisonPart() {
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
			fleet.runners(13, 8, 27, 20, (request, event) -> "note line " + event);
			fleet.crashing((request, prompt) -> (trouble && prompt.contains(PART)) ? Runner.Outcome.CRASHES
					: Runner.Outcome.WHOLE, BACK_MILLIS);
			fleet.start(3, 2);
			AtomicInteger sound = new AtomicInteger();
			AtomicInteger whole = new AtomicInteger();
			AtomicInteger refused = new AtomicInteger();
			AtomicInteger broken = new AtomicInteger();
			int number = 0;
			double start = record.seconds();
			double nextSound = start;
			double nextBad = start + 3;
			while (record.seconds() < start + TRAFFIC_S) {
				if (record.seconds() >= nextSound) {
					nextSound += 1 / SOUND_PER_S;
					String id = String.format("a%09x", number++);
					sound.incrementAndGet();
					clients.execute(() -> {
						Client.Answer answer = send(fleet, id, conversation(false));
						AtomicInteger count = (answer.status() == 200 && answer.whole()) ? whole
								: (answer.status() == 503) ? refused : broken;
						count.incrementAndGet();
					});
				}
				if (record.seconds() >= nextBad) {
					nextBad += 1 / BAD_PER_S;
					String id = String.format("b%09x", number++);
					clients.execute(() -> {
						Client.Answer answer = send(fleet, id, conversation(true));
						record.line("client: request %s with the part: status %d", id, answer.status());
					});
				}
				Store.pause(5);
			}
			Store.pause(2_000);
			return judge(fleet, record, String.format("sound requests: sent %d, whole %d, refused %d, broken off %d",
					sound.get(), whole.get(), refused.get(), broken.get()));
		}
		catch (Exception ex) {
			record.say("cannot run: %s", ex);
			return 2;
		}
		finally {
			clients.shutdownNow();
		}
	}

	/** Returns the parts of a prompt: those of the conversation so far, and the request's own part as the last one. */
	private static String conversation(boolean bad) {
		List<String> parts = new ArrayList<>();
		for (int n = 0; n < BEFORE; n++) {
			parts.add(String.format("9c2e%02x:60", n));
		}
		if (bad) {
			parts.add(PART + ":60");
		}
		parts.add(String.format("%08x:60", ThreadLocalRandom.current().nextInt()));
		return String.join(",", parts);
	}

	private static Client.Answer send(Fleet fleet, String id, String prompt) {
		return Client.call("127.0.0.1", fleet.entries.get(Math.floorMod(id.hashCode(), fleet.entries.size())).front, "POST",
				"/long/1",
				Map.of("X-Request-Id", id, "X-Model", "m", "X-Token-Usage", "1320,60", "X-Prompt-Prefix", prompt,
						"X-Deadline-Ms", "5000"),
				("note " + id).getBytes(StandardCharsets.UTF_8), 6_000);
	}

	private static int judge(Fleet fleet, Record record, String sound) {
		List<Runner.Run> bad = new ArrayList<>();
		fleet.runners.forEach((runner) -> runner.runs.stream().filter((run) -> run.id.startsWith("b")).forEach(bad::add));
		bad.sort((one, other) -> Double.compare(one.from, other.from));
		bad.forEach((run) -> record.line("runner %s began to run %s at %.3f: %s", run.runner, run.id, run.from, run.outcome));
		List<Double> crashes = new ArrayList<>();
		bad.stream().filter((run) -> run.outcome == Runner.Outcome.CRASHES).forEach((run) -> crashes.add(run.to));
		Collections.sort(crashes);
		record.say("%s", sound);
		if (crashes.size() < 5) {
			record.say("crashes %d; held", crashes.size());
			return 0;
		}
		double until = crashes.get(4) + STABLE_S;
		long late = bad.stream().filter((run) -> run.from > until).count();
		record.say("crashes %d, the fifth at %.3f; requests with the part that reached a runner later than %.1f s after it: %d",
				crashes.size(), crashes.get(4), STABLE_S, late);
		record.say((late > 3) ? "BROKEN" : "held");
		return (late > 3) ? 1 : 0;
	}

}
