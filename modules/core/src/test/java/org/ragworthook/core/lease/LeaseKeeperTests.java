package org.ragworthook.core.lease;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.store.FaultyObjectStore;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

class LeaseKeeperTests {

	private static final Duration PERIOD = Duration.ofSeconds(6);

	private static final Duration MOMENT = Duration.ofMillis(1);

	private static final String NAME = "shard-3";

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final FaultyObjectStore faulty = FaultyObjectStore.over(this.store);

	private final ManualTime time = ManualTime.of();

	private final LeaseKeeper first = keeper("entry-a");

	private final LeaseKeeper second = keeper("entry-b");

	private LeaseKeeper keeper(String holder) {
		return LeaseKeeper.builder(this.faulty, Stamps.of(holder), this.time).period(PERIOD).build(NAME);
	}

	private Optional<Lease> lookAndTake(LeaseKeeper keeper) {
		keeper.refresh().join();
		return keeper.acquire().join();
	}

	private Lease record() {
		Stored stored = this.store.read(Lease.key(NAME)).join().orElseThrow();
		return Lease.parse(NAME, stored.text());
	}

	@Test
	void shouldTakeAbsentLease() {
		assertThat(lookAndTake(this.first)).hasValue(new Lease(NAME, 1, "entry-a", PERIOD));
		assertThat(this.first.held()).isPresent();
	}

	@Test
	void shouldNotTakeWithoutHavingLooked() {
		assertThat(this.first.acquire().join()).isEmpty();
	}

	@Test
	void shouldLetOneOfTwoTakersWin() {
		this.first.refresh().join();
		this.second.refresh().join();
		assertThat(this.first.acquire().join()).isPresent();
		assertThat(this.second.acquire().join()).isEmpty();
		assertThat(this.second.held()).isEmpty();
	}

	@Test
	void shouldKeepEpochWhenRenewed() {
		lookAndTake(this.first);
		for (int round = 0; round < 10; round++) {
			this.time.advance(PERIOD.dividedBy(3));
			this.second.refresh().join();
			assertThat(this.first.renew().join()).isTrue();
			assertThat(this.second.acquire().join()).isEmpty();
		}
		assertThat(this.first.held()).hasValue(new Lease(NAME, 1, "entry-a", PERIOD));
	}

	// The holder stops, for instance because its instance was lost. Until another entry
	// takes
	// the shard over its jobs stand still, which their owner notices as a late result.
	@Test
	void shouldTakeOverAfterWholePeriodWithoutChange() {
		lookAndTake(this.first);
		this.second.refresh().join();
		this.time.advance(PERIOD.minus(MOMENT));
		assertThat(lookAndTake(this.second)).isEmpty();
		this.time.advance(MOMENT);
		assertThat(lookAndTake(this.second)).hasValue(new Lease(NAME, 2, "entry-b", PERIOD));
	}

	// A write can be under way for seconds. Counted from its answer, the holder's time
	// would
	// last longer than the taker waits, and a caller would see an item run twice at once.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1_000, 3_000, 5_000, 5_999, 9_000 })
	void shouldStopBelievingBeforeTakerMayAct(long delayMillis) {
		this.first.refresh().join();
		this.faulty.plan(Fault.DELAYED);
		this.first.acquire();
		this.faulty.plan(Fault.NONE);
		this.time.advance(Duration.ofMillis(delayMillis));
		this.faulty.deliver();
		this.second.refresh().join();
		while (!this.second.available()) {
			this.time.advance(Duration.ofMillis(100));
		}
		assertThat(this.first.held()).isEmpty();
	}

	// The platform takes the write and the answer is lost on the way back. If the holder
	// did
	// not find out, nobody would work on the shard for a whole period.
	@Test
	void shouldFindOwnWriteAfterLostAnswer() {
		this.first.refresh().join();
		this.faulty.plan((call) -> call.writes() ? Fault.ANSWER_LOST : Fault.NONE);
		assertThat(this.first.acquire().join()).isPresent();
		assertThat(this.first.renew().join()).isTrue();
		assertThat(record().epoch()).isEqualTo(1);
	}

	// The answer is lost and the platform cannot be read either. The keeper must not
	// believe;
	// later it takes its own left-over at once, with an epoch above what it may have
	// sent.
	@Test
	void shouldTakeOwnLeftOverWithHigherEpoch() {
		this.first.refresh().join();
		this.faulty.plan((call) -> call.writes() ? Fault.ANSWER_LOST : Fault.REFUSED);
		assertThat(this.first.acquire().isCompletedExceptionally()).isTrue();
		assertThat(this.first.held()).isEmpty();
		this.faulty.plan(Fault.NONE);
		assertThat(lookAndTake(this.first)).hasValue(new Lease(NAME, 2, "entry-a", PERIOD));
	}

	// The holder's process is halted, by its machine or by a long collection of memory,
	// and
	// wakes after the take-over. It must find itself deposed, else two entries would
	// work.
	@Test
	void shouldFindItselfDeposedAfterPause() {
		lookAndTake(this.first);
		this.second.refresh().join();
		this.time.advance(PERIOD);
		assertThat(lookAndTake(this.second)).isPresent();
		assertThat(this.first.held()).isEmpty();
		assertThat(this.first.renew().join()).isFalse();
		assertThat(lookAndTake(this.first)).isEmpty();
		assertThat(record().holder()).isEqualTo("entry-b");
	}

	// The platform is out for an hour and nobody can take over. Afterwards the holder
	// goes
	// on
	// under the same epoch, so that running items are not refused as those of an older
	// one.
	@ParameterizedTest
	@EnumSource(names = { "REFUSED", "REQUEST_LOST" })
	void shouldGoOnWithSameEpochAfterOutage(Fault fault) {
		lookAndTake(this.first);
		this.faulty.plan(fault);
		for (int minute = 0; minute < 60; minute++) {
			this.time.advance(Duration.ofMinutes(1));
			assertThat(this.first.renew().isCompletedExceptionally()).isTrue();
			assertThat(this.first.held()).isEmpty();
		}
		this.faulty.plan(Fault.NONE);
		assertThat(this.first.renew().join()).isTrue();
		assertThat(this.first.held()).hasValue(new Lease(NAME, 1, "entry-a", PERIOD));
	}

	@Test
	void shouldHandOverAtOnceWhenReleased() {
		lookAndTake(this.first);
		this.first.release().join();
		assertThat(this.first.held()).isEmpty();
		assertThat(record()).isEqualTo(new Lease(NAME, 1, "", PERIOD));
		assertThat(lookAndTake(this.second)).hasValue(new Lease(NAME, 2, "entry-b", PERIOD));
	}

	// The release itself is refused by the platform. The leaving entry may not go on
	// believing;
	// the shard is taken over after a period as if the entry had been lost.
	@Test
	void shouldStopBelievingAlsoWhenReleaseFails() {
		lookAndTake(this.first);
		this.second.refresh().join();
		this.faulty.plan(Fault.REFUSED);
		this.first.release().join();
		this.faulty.plan(Fault.NONE);
		assertThat(this.first.held()).isEmpty();
		this.time.advance(PERIOD);
		assertThat(lookAndTake(this.second)).isPresent();
	}

	@Test
	void shouldReadItsRecordBack() {
		Lease lease = new Lease(NAME, 42, "entry-a", PERIOD);
		assertThat(Lease.parse(NAME, lease.text())).isEqualTo(lease);
	}

}
