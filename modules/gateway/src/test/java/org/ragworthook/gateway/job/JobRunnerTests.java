package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a failure in this process does not keep jobs waiting for good.
 */
class JobRunnerTests {

	private static final Duration ROUND = Duration.ofMillis(100);

	private final ManualTime time = ManualTime.of();

	private final List<String> processed = new ArrayList<>();

	private Predicate<String> failing = (job) -> false;

	private int runnerCountFailures;

	private final JobRunner runner = runner();

	private JobRunner runner() {
		MemoryObjectStore objects = MemoryObjectStore.empty();
		ConditionalWriter writer = ConditionalWriter.of(objects, Stamps.of("t"));
		ProgressStore progress = ProgressStore.of(objects, writer, new NoProgress(), "batch-1");
		return JobRunner.of(new JobRunner.Dependencies(JobStore.of(objects, writer), progress, new Owners(), () -> true,
				null, null, UpstreamRegistry.empty(), null, null, null, this.time, () -> 0L, this.time, null,
				Runnable::run, null, null, () -> 0, Set::of, null, null, null, null, null, () -> true, null));
	}

	private static Job job(String id) {
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		return new Job(id, Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item));
	}

	/** Guards against jobs that are never run since another job cannot be processed. */
	@Test
	void shouldProcessJobsBesideOneThatFails() {
		this.failing = "a"::equals;
		this.runner.put(job("a"), false);
		this.runner.put(job("b"), false);
		assertThat(this.processed).contains("b");
	}

	/**
	 * Guards against a process that runs, loads and publishes nothing any more after a
	 * failure in its periodic round.
	 */
	@Test
	void shouldContinueItsRoundsAfterAFailure() {
		this.runner.put(job("a"), false);
		this.runnerCountFailures = 1;
		this.runner.start();
		this.processed.clear();
		this.time.advance(ROUND.multipliedBy(3));
		assertThat(this.runnerCountFailures).isEqualTo(0);
		assertThat(this.processed).containsExactly("a", "a", "a");
	}

	private final class Owners implements JobOwners {

		@Override
		public boolean ownedHere(String jobId) {
			if (JobRunnerTests.this.failing.test(jobId)) {
				throw new IllegalStateException("job " + jobId);
			}
			JobRunnerTests.this.processed.add(jobId);
			return false;
		}

		@Override
		public int runnerCount() {
			if (JobRunnerTests.this.runnerCountFailures > 0) {
				JobRunnerTests.this.runnerCountFailures--;
				throw new IllegalStateException("no count");
			}
			return 1;
		}

	}

}
