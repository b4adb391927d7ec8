package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.ragworthook.core.store.FaultyObjectStore;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

/**
 * An in-memory object store, a manual clock, fake sidecars, and entries that can crash.
 */
final class JobWorld {

	static final String ACCOUNT = "peachtree";

	static final String ENDPOINT = "/v1/chat/completions";

	static final Duration PERIOD = Duration.ofSeconds(6);

	static final Duration FAILOVER = PERIOD.multipliedBy(2).plusSeconds(2);

	private static final long EPOCH_MILLIS = 1_760_000_000_000L;

	final MemoryObjectStore store = MemoryObjectStore.empty();

	final ManualTime time = ManualTime.of();

	final InstantSource clock = () -> Instant.ofEpochMilli(EPOCH_MILLIS + this.time.nanos() / 1_000_000);

	final FakeSidecars sidecars;

	private final Set<String> entryNames = new TreeSet<>();

	JobWorld(int capacity) {
		this.sidecars = new FakeSidecars(capacity);
	}

	Entry entry(String name) {
		return new Entry(name);
	}

	static String line(String customId, boolean idempotent) {
		return "{\"custom_id\":\"" + customId + "\",\"method\":\"POST\",\"url\":\"" + ENDPOINT + "\","
				+ (idempotent ? "" : "\"idempotent\":false,") + "\"body\":{\"model\":\"m\",\"n\":1}}";
	}

	static String lines(int count) {
		return IntStream.range(0, count).mapToObj((item) -> line("i" + item, true)).collect(Collectors.joining("\n"));
	}

	void seconds(int seconds) {
		this.time.advance(Duration.ofSeconds(seconds));
	}

	JobRecord record(JobId id) {
		return JobResults.of(this.store).job(ACCOUNT, id).join().orElseThrow();
	}

	List<ItemResult> results(JobId id) {
		JobRecord job = record(id);
		List<ItemResult> all = new ArrayList<>();
		for (int chunk = 0; chunk < job.chunks(); chunk++) {
			all.addAll(JobResults.of(this.store).results(job, chunk).join());
		}
		return all;
	}

	List<String> read(JobId id, FileId.Content content) {
		List<String> all = new ArrayList<>();
		JobResults.of(this.store).read(record(id), content, (lines) -> {
			all.addAll(lines);
			return CompletableFuture.completedFuture(null);
		}).join();
		return all;
	}

	/**
	 * Ends running items and advances the clock until a job has ended.
	 * @param id the job
	 * @return the record of the job
	 */
	JobRecord runToEnd(JobId id) {
		for (int round = 0; round < 200 && !record(id).status().ended(); round++) {
			this.sidecars.run(FakeSidecars::answer);
			seconds(1);
		}
		return record(id);
	}

	/**
	 * One entry, with its own fault-injecting connection to the store.
	 */
	final class Entry {

		final FaultyObjectStore faulty = FaultyObjectStore.over(JobWorld.this.store);

		final String name;

		final JobRunner runner;

		private final FileIntake files;

		private final JobIntake jobs;

		private final JobCanceller canceller;

		Entry(String name) {
			this.name = name;
			JobWorld world = JobWorld.this;
			Stamps stamps = Stamps.of(name);
			world.entryNames.add(name);
			this.files = FileIntake.builder(this.faulty, stamps, world.time, world.clock).build();
			this.jobs = JobIntake.of(this.files, stamps, world.time, world.clock, 1);
			this.canceller = JobCanceller.of(this.faulty, stamps, world.clock);
			this.runner = JobRunner.builder(this.faulty, stamps, world.sidecars.of(name))
				.time(world.time, world.time, world.clock)
				.entries(() -> Set.copyOf(world.entryNames))
				.period(PERIOD)
				.build();
		}

		Entry start() {
			this.runner.start();
			return this;
		}

		void crash() {
			JobWorld.this.entryNames.remove(this.name);
			JobWorld.this.sidecars.disconnect(this.name);
			this.faulty.plan(Fault.DEAD_BEFORE);
		}

		CompletableFuture<FileRecord> upload(String key, String content) {
			FileSpec spec = new FileSpec(ACCOUNT, Optional.of(key), FileSpec.BATCH, "items.jsonl");
			byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
			return this.files.begin(spec)
				.thenCompose((upload) -> upload.write(bytes).thenCompose((done) -> upload.complete()));
		}

		CompletableFuture<Upload> begin(String key) {
			return this.files.begin(new FileSpec(ACCOUNT, Optional.of(key), FileSpec.BATCH, "items.jsonl"));
		}

		CompletableFuture<JobRecord> accept(String key, FileId input) {
			return this.jobs.accept(
					new JobSpec(ACCOUNT, Optional.of(key), input, ENDPOINT, Duration.ofHours(24), Map.of("lot", "7")));
		}

		CompletableFuture<JobRecord> submit(String key, String content) {
			return upload("file of " + key, content).thenCompose((file) -> accept(key, file.id()));
		}

		CompletableFuture<JobRecord> cancel(JobId id) {
			return this.canceller.cancel(ACCOUNT, id);
		}

	}

}
