package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * When a process may report that no other process has published more results than it
 * knows of.
 */
class ResultAuthorityTests {

	private final AtomicLong nanos = new AtomicLong();

	private final AtomicInteger pauseCount = new AtomicInteger();

	private final AtomicReference<Set<String>> liveRunners = new AtomicReference<>(Set.of("one", "two"));

	private final ResultAuthority authority = new ResultAuthority(this.nanos::get, this.pauseCount::get,
			this.liveRunners::get);

	private final OwnedJob job = ready();

	private static OwnedJob ready() {
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		OwnedJob job = new OwnedJob(new Job("job", Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)),
				false);
		job.phase(OwnedJob.Phase.READY);
		return job;
	}

	/**
	 * Assigns the job to this process after the set of processes has been stable for long
	 * enough.
	 */
	private void acceptJob() {
		this.authority.refresh();
		this.nanos.addAndGet(ResultAuthority.MAX_DISCOVERY_DELAY.toNanos());
		this.authority.onAccepted("job");
	}

	private Optional<PublishedResults> reported() {
		this.authority.refresh();
		return this.authority.publishedResults(this.job);
	}

	private static Optional<PublishedResults> published(int segments, boolean authoritative) {
		return Optional.of(new PublishedResults("job", 1, segments, authoritative));
	}

	@Test
	void shouldHaveAuthorityOverAJobThatNobodyElseCanHaveRun() {
		assertThat(reported()).isEmpty();
		acceptJob();
		assertThat(reported()).isEqualTo(published(0, true));
	}

	/**
	 * A job is accepted, run by its owner, which publishes a short item and is stopped,
	 * all before this process polls for jobs. The job looks new to this process.
	 */
	@Test
	void shouldNotHaveAuthorityIfAnEarlierOwnerMayHaveRunTheJob() {
		acceptJob();
		this.liveRunners.set(Set.of("one"));
		this.authority.onAccepted("job");
		assertThat(reported()).isEmpty();
	}

	/**
	 * The previous owner was killed while it wrote a segment. The store may apply the
	 * write seconds later, after the new owner has read that there is no such segment,
	 * but no longer once the new owner has written that segment itself.
	 */
	@Test
	void shouldRegainAuthorityByAWrite() {
		acceptJob();
		this.authority.revoke("job");
		this.nanos.addAndGet(Duration.ofMinutes(1).toNanos());
		assertThat(reported()).isEmpty();
		this.authority.onWriteStarted("job");
		this.authority.onWritten("job");
		assertThat(reported()).isEqualTo(published(0, true));
	}

	/**
	 * The process was paused, or processes have joined or left, and others may have run
	 * its jobs. If it went on reporting with authority, entries would deny results that a
	 * caller has already seen. A segment that it then writes without a conflict proves
	 * that nobody else has published.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "paused", "one has come", "one has gone" })
	void shouldLoseAuthorityOnceOthersMayHavePublished(String event) {
		acceptJob();
		if (event.equals("paused")) {
			this.pauseCount.incrementAndGet();
		}
		else {
			this.liveRunners.set(event.equals("one has come") ? Set.of("one", "two", "three") : Set.of("one"));
		}
		assertThat(reported()).isEmpty();
		this.authority.onWriteStarted("job");
		this.job.writing(true);
		assertThat(reported()).isEqualTo(published(1, false));
		this.job.writing(false);
		this.job.addSegment(0, List.of());
		this.authority.onWritten("job");
		assertThat(reported()).isEqualTo(published(1, true));
	}

	/**
	 * Another process has published first. This one loses its authority until it has read
	 * the job anew, and still reports the segment that it was writing.
	 */
	@Test
	void shouldLoseAuthorityAfterAConflict() {
		acceptJob();
		this.authority.onWriteStarted("job");
		this.authority.revoke("job");
		assertThat(reported()).isEqualTo(published(0, false));
		this.nanos.addAndGet(ResultAuthority.WRITE_REPORT_TIME.plus(Duration.ofMillis(1)).toNanos());
		assertThat(reported()).isEmpty();
	}

	@Test
	void shouldLoseAuthorityWithTheJob() {
		acceptJob();
		this.job.phase(OwnedJob.Phase.NOT_LOADED);
		assertThat(reported()).isEmpty();
	}

}
