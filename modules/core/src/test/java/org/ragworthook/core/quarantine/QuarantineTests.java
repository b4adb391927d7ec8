package org.ragworthook.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link Quarantine}.
 */
class QuarantineTests {

	private Instant now = Instant.ofEpochMilli(1_000_000);

	private final Quarantine quarantine = quarantine(100);

	private Quarantine quarantine(int capacity) {
		return Quarantine.of(() -> this.now, Duration.ofMinutes(1), Duration.ofMinutes(10), capacity);
	}

	/**
	 * One request crashes every engine that runs it, inFlight with the requests in flight
	 * beside it. Only that request may be quarantined; the others must be cleared by
	 * their answers.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 8, 40 })
	void shouldQuarantineOnlyRequestThatCrashesUpstreams(int inFlight) {
		for (int i = 0; i < inFlight; i++) {
			this.quarantine.recordCrash("request-" + i, inFlight);
		}
		for (int i = 1; i < inFlight; i++) {
			assertThat(this.quarantine.state("request-" + i)).isEqualTo(QuarantineState.SUSPECT);
			this.quarantine.recordAnswer("request-" + i);
			assertThat(this.quarantine.state("request-" + i)).isEqualTo(QuarantineState.CLEAR);
		}
		this.quarantine.recordCrash("request-0", 1);
		assertThat(this.quarantine.state("request-0")).isEqualTo(QuarantineState.SUSPECT);
		this.quarantine.recordCrash("request-0", 1);
		assertThat(this.quarantine.state("request-0")).isEqualTo(QuarantineState.QUARANTINED);
	}

	/**
	 * A harmless request is repeatedly in flight beside requests that crash their
	 * engines. It must not be quarantined for these crashes.
	 */
	@Test
	void shouldNotQuarantineForCrashesWithOthersInFlight() {
		for (int i = 0; i < 50; i++) {
			assertThat(this.quarantine.recordCrash("harmless", 2 + i)).isEqualTo(Optional.empty());
		}
		assertThat(this.quarantine.state("harmless")).isEqualTo(QuarantineState.SUSPECT);
	}

	@Test
	void shouldExpireAfterQuarantineDuration() {
		this.quarantine.recordCrash("bad", 1);
		this.quarantine.recordCrash("bad", 1);
		assertThat(this.quarantine.remaining("bad")).isEqualTo(Optional.of(Duration.ofMinutes(10)));
		this.now = this.now.plus(Duration.ofMinutes(10));
		assertThat(this.quarantine.state("bad")).isEqualTo(QuarantineState.CLEAR);
		this.quarantine.recordCrash("bad", 1);
		assertThat(this.quarantine.state("bad")).isEqualTo(QuarantineState.SUSPECT);
	}

	/**
	 * The caller resends the request to another entry, which has not observed the
	 * crashes. It must be refused there too.
	 */
	@Test
	void shouldQuarantineRequestReportedByAnotherEntry() {
		Quarantine other = quarantine(100);
		this.quarantine.recordCrash("bad", 1);
		CrashRecord record = this.quarantine.recordCrash("bad", 1).orElseThrow();
		assertThat(other.merge(record)).isTrue();
		assertThat(other.merge(record)).isFalse();
		assertThat(other.state("bad")).isEqualTo(QuarantineState.QUARANTINED);
		assertThat(this.quarantine.quarantined()).containsExactly(record);
	}

	/**
	 * Entries exchange records in any order and repeat them after a lost link. If they
	 * did not converge, a request refused at one entry could crash engines through
	 * another.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void shouldConvergeForAnyMergeOrder(long seed) {
		Random random = new Random(seed);
		List<CrashRecord> records = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			records.add(new CrashRecord("request-" + random.nextInt(9), 1 + random.nextInt(3),
					this.now.toEpochMilli() + 1 + random.nextInt(9_000)));
		}
		Quarantine one = quarantine(100);
		records.forEach(one::merge);
		Collections.shuffle(records, random);
		Quarantine two = quarantine(100);
		records.forEach(two::merge);
		records.forEach(two::merge);
		assertThat(two.quarantined()).containsExactlyElementsIn(one.quarantined());
	}

	/**
	 * A caller keeps sending new requests that crash engines. The records must not fill
	 * the entry's memory, and suspects must not evict quarantined requests.
	 */
	@Test
	void shouldNotExceedCapacity() {
		this.quarantine.recordCrash("bad", 1);
		this.quarantine.recordCrash("bad", 1);
		for (int i = 0; i < 5_000; i++) {
			this.quarantine.recordCrash("request-" + i, 2);
			assertThat(this.quarantine.size()).isAtMost(100);
		}
		assertThat(this.quarantine.state("bad")).isEqualTo(QuarantineState.QUARANTINED);
	}

}
