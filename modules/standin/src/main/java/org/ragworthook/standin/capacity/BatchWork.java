package org.ragworthook.standin.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.ragworthook.core.job.FileIntake;
import org.ragworthook.core.job.FileRecord;
import org.ragworthook.core.job.FileSpec;
import org.ragworthook.core.job.ItemOutcome;
import org.ragworthook.core.job.ItemRequest;
import org.ragworthook.core.job.ItemSender;
import org.ragworthook.core.job.JobId;
import org.ragworthook.core.job.JobIntake;
import org.ragworthook.core.job.JobRunner;
import org.ragworthook.core.job.JobSpec;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

/**
 * One entry with batch work on a store in memory.
 */
final class BatchWork {

	private static final String ACCOUNT = "bench";

	private static final String ENTRY = "entry";

	private static final String ENDPOINT = "/v1/chat/completions";

	private static final int PROMPT_BYTES = 1_000;

	private static final String PROMPT = "x".repeat(PROMPT_BYTES);

	private static final String ANSWER = "{\"choices\":[{\"message\":{\"content\":\"" + PROMPT + "\"}}]}";

	private final CountingStore store = new CountingStore(MemoryObjectStore.empty());

	private final ManualTime time = ManualTime.of();

	private final InstantSource clock = () -> Instant.EPOCH.plusNanos(this.time.nanos());

	private final Stamps stamps = Stamps.of(ENTRY);

	private final FileIntake files = FileIntake.builder(this.store, this.stamps, this.time, this.clock).build();

	private final JobIntake jobs = JobIntake.of(this.files, this.stamps, this.time, this.clock, 1);

	CountingStore store() {
		return this.store;
	}

	/**
	 * Uploads a file of items and accepts a job over it.
	 * @param key the job's idempotency key
	 * @param items how many items, each with a prompt of 1 KB
	 * @return the job
	 */
	JobId accept(String key, int items) {
		FileRecord file = this.files.begin(new FileSpec(ACCOUNT, Optional.of(key), FileSpec.BATCH, key))
			.thenCompose((upload) -> upload.write(lines(items)).thenCompose((done) -> upload.complete()))
			.join();
		JobSpec spec = new JobSpec(ACCOUNT, Optional.of(key), file.id(), ENDPOINT, Duration.ofHours(24), Map.of());
		return this.jobs.accept(spec).join().id();
	}

	/**
	 * Starts an entry's work on the jobs.
	 * @param room how many further items the sidecars hold
	 * @return the running part
	 */
	JobRunner start(int room) {
		JobRunner runner = JobRunner.builder(this.store, this.stamps, new Answering(room))
			.time(this.time, this.time, this.clock)
			.entries(() -> Set.of(ENTRY))
			.build();
		runner.start();
		seconds(1);
		return runner;
	}

	void seconds(int count) {
		IntStream.range(0, count).forEach((second) -> this.time.advance(Duration.ofSeconds(1)));
	}

	private static byte[] lines(int items) {
		return IntStream.range(0, items)
			.mapToObj((number) -> "{\"custom_id\":\"item-" + number + "\",\"method\":\"POST\",\"url\":\"" + ENDPOINT
					+ "\",\"body\":{\"model\":\"m\",\"prompt\":\"" + PROMPT + "\"}}")
			.collect(Collectors.joining("\n"))
			.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Answers each item, if there is room for any.
	 *
	 * @param places how many items it would hold
	 */
	private record Answering(int places) implements ItemSender {

		@Override
		public int freeSlots(String route) {
			return this.places;
		}

		@Override
		public CompletableFuture<ItemOutcome> send(ItemRequest request) {
			return CompletableFuture.completedFuture(new ItemOutcome.Answered(200, ANSWER));
		}

		@Override
		public void cancel(JobId job) {
		}

		@Override
		public void recall(JobId job) {
		}

	}

}
