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
	 * One request crashes each engine that runs it, and the requests beside it fall with
	 * it. Only the one may be refused; the others must be answered.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 8, 40 })
	void shouldConvictOnlyCulprit(int together) {
		for (int i = 0; i < together; i++) {
			this.quarantine.recordCrash("request-" + i, together);
		}
		for (int i = 1; i < together; i++) {
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
	 * A request has the bad luck to be beside ever other requests that crash their
	 * engines. It must not be refused for that.
	 */
	@Test
	void shouldNeverConvictForCrashesInCompany() {
		for (int i = 0; i < 50; i++) {
			assertThat(this.quarantine.recordCrash("unlucky", 2 + i)).isEqualTo(Optional.empty());
		}
		assertThat(this.quarantine.state("unlucky")).isEqualTo(QuarantineState.SUSPECT);
	}

	@Test
	void shouldLetGoAfterItsTime() {
		this.quarantine.recordCrash("bad", 1);
		this.quarantine.recordCrash("bad", 1);
		assertThat(this.quarantine.remaining("bad")).isEqualTo(Optional.of(Duration.ofMinutes(10)));
		this.now = this.now.plus(Duration.ofMinutes(10));
		assertThat(this.quarantine.state("bad")).isEqualTo(QuarantineState.CLEAR);
		this.quarantine.recordCrash("bad", 1);
		assertThat(this.quarantine.state("bad")).isEqualTo(QuarantineState.SUSPECT);
	}

	/**
	 * The caller sends the request again to another entry, which has not seen the
	 * crashes. It must be refused there too.
	 */
	@Test
	void shouldRefuseWhatAnotherEntryConvicted() {
		Quarantine other = quarantine(100);
		this.quarantine.recordCrash("bad", 1);
		CrashRecord conviction = this.quarantine.recordCrash("bad", 1).orElseThrow();
		assertThat(other.merge(conviction)).isTrue();
		assertThat(other.merge(conviction)).isFalse();
		assertThat(other.state("bad")).isEqualTo(QuarantineState.QUARANTINED);
		assertThat(this.quarantine.quarantined()).containsExactly(conviction);
	}

	/**
	 * Entries tell each other what they know in any order, and tell it again after a link
	 * was lost. All must come to the same end, else a request refused at one entry would
	 * crash engines by way of another.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void shouldMergeToSameInAnyOrder(long seed) {
		Random random = new Random(seed);
		List<CrashRecord> news = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			news.add(new CrashRecord("request-" + random.nextInt(9), 1 + random.nextInt(3),
					this.now.toEpochMilli() + 1 + random.nextInt(9_000)));
		}
		Quarantine one = quarantine(100);
		news.forEach(one::merge);
		Collections.shuffle(news, random);
		Quarantine two = quarantine(100);
		news.forEach(two::merge);
		news.forEach(two::merge);
		assertThat(two.quarantined()).containsExactlyElementsIn(one.quarantined());
	}

	/**
	 * A caller sends ever new requests that crash engines. What is remembered of them
	 * must not fill the entry's memory, and what is convicted must not be pushed out by
	 * suspects.
	 */
	@Test
	void shouldStayBounded() {
		this.quarantine.recordCrash("bad", 1);
		this.quarantine.recordCrash("bad", 1);
		for (int i = 0; i < 5_000; i++) {
			this.quarantine.recordCrash("request-" + i, 2);
			assertThat(this.quarantine.size()).isAtMost(100);
		}
		assertThat(this.quarantine.state("bad")).isEqualTo(QuarantineState.QUARANTINED);
	}

}
