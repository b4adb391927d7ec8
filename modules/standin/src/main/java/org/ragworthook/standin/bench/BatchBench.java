package org.ragworthook.standin.bench;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.ragworthook.core.job.FileIntake;
import org.ragworthook.core.job.FileRecord;
import org.ragworthook.core.job.FileSpec;
import org.ragworthook.core.job.JobId;
import org.ragworthook.core.job.JobIntake;
import org.ragworthook.core.job.JobRecord;
import org.ragworthook.core.job.JobResults;
import org.ragworthook.core.job.JobRunner;
import org.ragworthook.core.job.JobSpec;
import org.ragworthook.core.job.Upload;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

/**
 * Measures the batch parts of the core on their own, in manual time and without links:
 * store calls, memory, the accept of a large job, and how long a shard stands still.
 */
public final class BatchBench {

	private static final String ACCOUNT = "peachtree";

	private static final String ENDPOINT = "/v1/chat/completions";

	private static final Duration PERIOD = Duration.ofSeconds(6);

	private static final Duration STEP = Duration.ofMillis(20);

	private static final int MOST_TURNS = 5_000;

	private static final int PIECE_LINES = 100;

	private static final int MEBIBYTE = 1 << 20;

	private final Random random;

	private ManualTime time = ManualTime.of();

	private final InstantSource clock = () -> Instant.ofEpochMilli(1_760_000_000_000L + this.time.nanos() / 1_000_000);

	private int keys;

	/**
	 * Prepares a measurement.
	 * @param seed of the moments of death
	 */
	public BatchBench(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Runs all measurements.
	 * @param out takes a line for each figure
	 */
	public void run(Consumer<String> out) {
		for (int items : new int[] { 100, 1_000, 10_000 }) {
			out.accept(storeCalls(items));
		}
		out.accept(memory());
		out.accept(handOver());
		out.accept(takeOver(20));
		out.accept(accept(750_000));
	}

	// -- jobs

	private Upload upload(ObjectStore store, Stamps stamps) {
		return files(store, stamps).begin(new FileSpec(ACCOUNT, Optional.of("k" + this.keys++), FileSpec.BATCH, "f"))
			.join();
	}

	private FileIntake files(ObjectStore store, Stamps stamps) {
		return FileIntake.builder(store, stamps, this.time, this.clock).build();
	}

	private JobRecord submit(ObjectStore store, Stamps stamps, int items) {
		Upload upload = upload(store, stamps);
		for (int first = 0; first < items; first += PIECE_LINES) {
			upload.write(lines(first, Math.min(items, first + PIECE_LINES))).join();
		}
		FileRecord file = upload.complete().join();
		return JobIntake.of(files(store, stamps), stamps, this.time, this.clock, 1)
			.accept(new JobSpec(ACCOUNT, Optional.empty(), file.id(), ENDPOINT, Duration.ofHours(24), Map.of()))
			.join();
	}

	private static byte[] lines(int from, int to) {
		StringBuilder lines = new StringBuilder();
		for (int item = from; item < to; item++) {
			lines.append("{\"custom_id\":\"item-")
				.append(item)
				.append("\",\"method\":\"POST\",\"url\":\"" + ENDPOINT + "\",\"body\":{\"model\":\"m\",\"messages\":"
						+ "[{\"role\":\"user\",\"content\":\"")
				.append("measure ".repeat(60))
				.append("\"}]}}\n");
		}
		return lines.toString().getBytes(StandardCharsets.UTF_8);
	}

	private JobRunner runner(ObjectStore store, Stamps stamps, SlotSender sender, Set<String> entries) {
		JobRunner runner = JobRunner.builder(store, stamps, sender)
			.time(this.time, this.time, this.clock)
			.entries(() -> Set.copyOf(entries))
			.period(PERIOD)
			.build();
		runner.start();
		return runner;
	}

	private boolean ended(ObjectStore store, JobId id) {
		return JobResults.of(store).job(ACCOUNT, id).join().orElseThrow().status().ended();
	}

	// -- figures

	// What ran before keeps timers, and with them its store, for as long as its time
	// lives.
	private void begin() {
		this.time = ManualTime.of();
	}

	private String storeCalls(int items) {
		begin();
		MemoryObjectStore shared = MemoryObjectStore.empty();
		MeasuredStore store = new MeasuredStore(shared);
		Stamps stamps = Stamps.of("calls-" + items);
		SlotSender sender = new SlotSender(64);
		runner(store, stamps, sender, new TreeSet<>());
		this.time.advance(Duration.ofSeconds(2));
		long calls = store.calls();
		long bytes = store.bytes();
		JobRecord job = submit(store, stamps, items);
		while (!ended(shared, job.id())) {
			sender.end(1);
		}
		double thousands = items / 1000.0;
		return String.format("job of %,d items: %.1f store calls and %,.0f bytes for each 1,000 items", items,
				(store.calls() - calls) / thousands, (store.bytes() - bytes) / thousands);
	}

	private String memory() {
		begin();
		MemoryObjectStore full = MemoryObjectStore.empty();
		JobRecord large = submit(full, Stamps.of("memory"), 10_000);
		long before = used();
		JobRunner runner = runner(full, Stamps.of("items"), new SlotSender(0), new TreeSet<>());
		this.time.advance(Duration.ofSeconds(2));
		long bytes = used() - before;
		int held = 500 * full.list(Kind.RESULT, Labels.empty()).join().objects().size();
		return String.format("%,d items held of %,d by the owner of %d shard: %,d bytes for each 1,000", held,
				large.items(), runner.shards().size(), bytes * 1000 / held);
	}

	private static long used() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private String accept(int items) {
		begin();
		ForgetfulStore store = new ForgetfulStore();
		Upload upload = upload(store, Stamps.of("accept"));
		long before = used();
		long peak = 0;
		long bytes = 0;
		long began = System.nanoTime();
		for (int first = 0; first < items; first += PIECE_LINES) {
			byte[] piece = lines(first, first + PIECE_LINES);
			bytes += piece.length;
			upload.write(piece).join();
			if (first % 50_000 == 0) {
				peak = Math.max(peak, used() - before);
			}
		}
		peak = Math.max(peak, used() - before);
		FileRecord file = upload.complete().join();
		double seconds = (System.nanoTime() - began) / 1e9;
		return String.format(
				"accept of %,d items, %,d MiB in %d chunks: %.1f MiB held at most, %.1f s, heap limit %d MiB",
				file.items(), bytes / MEBIBYTE, file.chunks(), peak / (double) MEBIBYTE, seconds,
				Runtime.getRuntime().maxMemory() / MEBIBYTE);
	}

	private String takeOver(int rounds) {
		double most = 0;
		double sum = 0;
		int again = 0;
		for (int round = 0; round < rounds; round++) {
			begin();
			MemoryObjectStore shared = MemoryObjectStore.empty();
			MeasuredStore dying = new MeasuredStore(shared);
			Set<String> entries = new TreeSet<>(Set.of("a" + round));
			SlotSender lost = new SlotSender(64);
			runner(dying, Stamps.of("a" + round), lost, entries);
			this.time.advance(Duration.ofSeconds(2));
			JobRecord job = submit(shared, Stamps.of("s" + round), 2_000);
			lost.end(this.random.nextInt(1_900));
			SlotSender next = new SlotSender(64);
			runner(shared, Stamps.of("b" + round), next, entries);
			this.time.advance(Duration.ofMillis(this.random.nextInt(6_000)));
			dying.cut();
			entries.clear();
			entries.add("b" + round);
			long died = this.time.nanos();
			awaitStart(next);
			double periods = (this.time.nanos() - died) / (double) PERIOD.toNanos();
			most = Math.max(most, periods);
			sum += periods;
			for (int turn = 0; turn < MOST_TURNS && !ended(shared, job.id()); turn++) {
				next.end(64);
				this.time.advance(STEP);
			}
			again = Math.max(again, lost.starts() + next.starts() - 2_000);
		}
		return String.format("owner lost, %d times at random moments: next item after %.2f lease periods at the mean, "
				+ "%.2f at most; at most %d of 2,000 items run again", rounds, sum / rounds, most, again);
	}

	private void awaitStart(SlotSender sender) {
		for (int turn = 0; turn < MOST_TURNS && sender.starts() == 0; turn++) {
			this.time.advance(STEP);
		}
		if (sender.starts() == 0) {
			throw new IllegalStateException("no item was started by the next owner");
		}
	}

	private String handOver() {
		begin();
		MemoryObjectStore shared = MemoryObjectStore.empty();
		Set<String> entries = new TreeSet<>(Set.of("p"));
		SlotSender old = new SlotSender(64);
		JobRunner leaving = runner(shared, Stamps.of("p"), old, entries);
		this.time.advance(Duration.ofSeconds(2));
		submit(shared, Stamps.of("hand"), 2_000);
		SlotSender next = new SlotSender(64);
		runner(shared, Stamps.of("q"), next, entries);
		this.time.advance(Duration.ofMillis(500));
		entries.clear();
		entries.add("q");
		long began = this.time.nanos();
		leaving.releaseShards();
		awaitStart(next);
		return String.format("planned leave: next item after %d ms", (this.time.nanos() - began) / 1_000_000);
	}

}
