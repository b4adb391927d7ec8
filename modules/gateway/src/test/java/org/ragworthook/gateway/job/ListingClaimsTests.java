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
 * Of which jobs a process says that nobody has listed more than it knows.
 */
class ListingClaimsTests {

	private final AtomicLong nanos = new AtomicLong();

	private final AtomicInteger pauses = new AtomicInteger();

	private final AtomicReference<Set<String>> processes = new AtomicReference<>(Set.of("one", "two"));

	private final ListingClaims claims = new ListingClaims(this.nanos::get, this.pauses::get, this.processes::get);

	private final OwnedJob job = ready();

	private static OwnedJob ready() {
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		OwnedJob job = new OwnedJob(new Job("job", Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item)),
				false);
		job.phase(OwnedJob.Phase.READY);
		return job;
	}

	/** For long this process has heard the same processes; then it is given the job. */
	private void accepted() {
		this.claims.look();
		this.nanos.addAndGet(ListingClaims.SEEN_AFTER.toNanos());
		this.claims.accepted("job");
	}

	private Optional<PublishedResults> told() {
		this.claims.look();
		return this.claims.listing(this.job);
	}

	private static Optional<PublishedResults> listing(int segments, boolean all) {
		return Optional.of(new PublishedResults("job", 1, segments, all));
	}

	@Test
	void shouldTellOfAJobThatNobodyElseCanHaveRun() {
		assertThat(told()).isEmpty();
		accepted();
		assertThat(told()).isEqualTo(listing(0, true));
	}

	/**
	 * A job is accepted, its owner runs it, lists a short item and is stopped, all before
	 * this process looks for jobs. To this process the job looks as if it were new.
	 */
	@Test
	void shouldNotSpeakForAJobThatItsOwnerBeforeMayHaveRun() {
		accepted();
		this.processes.set(Set.of("one"));
		this.claims.accepted("job");
		assertThat(told()).isEmpty();
	}

	/**
	 * The owner before was killed while it wrote a segment. The store may carry the write
	 * out seconds later, after the new owner has read that there is no such segment; once
	 * the new owner has written it, it cannot.
	 */
	@Test
	void shouldNotSpeakForWhatOthersHaveRunBeforeItHasWritten() {
		accepted();
		this.claims.forget("job");
		this.nanos.addAndGet(Duration.ofMinutes(1).toNanos());
		assertThat(told()).isEmpty();
		this.claims.writing("job");
		this.claims.written("job");
		assertThat(told()).isEqualTo(listing(0, true));
	}

	/**
	 * The process was paused, or processes came and went, and others have perhaps run its
	 * jobs. What it knew must not be told any longer: an entry would deny results that a
	 * caller has seen. A segment that it writes without a conflict shows that nobody has.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "paused", "one has come", "one has gone" })
	void shouldNotTellOnceOthersMayHaveListed(String what) {
		accepted();
		if (what.equals("paused")) {
			this.pauses.incrementAndGet();
		}
		else {
			this.processes.set(what.equals("one has come") ? Set.of("one", "two", "three") : Set.of("one"));
		}
		assertThat(told()).isEmpty();
		this.claims.writing("job");
		this.job.writing(true);
		assertThat(told()).isEqualTo(listing(1, false));
		this.job.writing(false);
		this.job.listed(0, List.of());
		this.claims.written("job");
		assertThat(told()).isEqualTo(listing(1, true));
	}

	/**
	 * Another process has listed first. Nothing is told as all there is until the job was
	 * read anew; that a segment was being written is still told.
	 */
	@Test
	void shouldNotTellAfterAConflict() {
		accepted();
		this.claims.writing("job");
		this.claims.forget("job");
		assertThat(told()).isEqualTo(listing(0, false));
		this.nanos.addAndGet(ListingClaims.OWN_WRITES.plus(Duration.ofMillis(1)).toNanos());
		assertThat(told()).isEmpty();
	}

	@Test
	void shouldNotTellAsAllWhatIsNotItsOwnAnyLonger() {
		accepted();
		this.job.phase(OwnedJob.Phase.KNOWN);
		assertThat(told()).isEmpty();
	}

}
