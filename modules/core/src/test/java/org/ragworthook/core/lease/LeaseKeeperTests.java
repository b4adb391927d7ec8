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

	private Optional<Lease> refreshAndAcquire(LeaseKeeper keeper) {
		keeper.refresh().join();
		return keeper.acquire().join();
	}

	private Lease record() {
		Stored stored = this.store.read(Lease.key(NAME)).join().orElseThrow();
		return Lease.parse(NAME, stored.text());
	}

	@Test
	void shouldAcquireAbsentLease() {
		assertThat(refreshAndAcquire(this.first)).hasValue(new Lease(NAME, 1, "entry-a", PERIOD));
		assertThat(this.first.held()).isPresent();
	}

	@Test
	void shouldNotAcquireBeforeReadingRecord() {
		assertThat(this.first.acquire().join()).isEmpty();
	}

	@Test
	void shouldGrantLeaseToOnlyOneOfTwoKeepers() {
		this.first.refresh().join();
		this.second.refresh().join();
		assertThat(this.first.acquire().join()).isPresent();
		assertThat(this.second.acquire().join()).isEmpty();
		assertThat(this.second.held()).isEmpty();
	}

	@Test
	void shouldKeepEpochWhenRenewed() {
		refreshAndAcquire(this.first);
		for (int round = 0; round < 10; round++) {
			this.time.advance(PERIOD.dividedBy(3));
			this.second.refresh().join();
			assertThat(this.first.renew().join()).isTrue();
			assertThat(this.second.acquire().join()).isEmpty();
		}
		assertThat(this.first.held()).hasValue(new Lease(NAME, 1, "entry-a", PERIOD));
	}

	// The holder stops, for example because its instance was lost. Until another entry
	// acquires the lease, the jobs of the shard stall.
	@Test
	void shouldAcquireAfterWholePeriodWithoutChange() {
		refreshAndAcquire(this.first);
		this.second.refresh().join();
		this.time.advance(PERIOD.minus(MOMENT));
		assertThat(refreshAndAcquire(this.second)).isEmpty();
		this.time.advance(MOMENT);
		assertThat(refreshAndAcquire(this.second)).hasValue(new Lease(NAME, 2, "entry-b", PERIOD));
	}

	// A write may take seconds. If validity were measured from its response, the holder
	// would still act after another process has acquired the lease, and an item could
	// run twice at the same time.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1_000, 3_000, 5_000, 5_999, 9_000 })
	void shouldStopHoldingBeforeLeaseIsAvailableToOthers(long delayMillis) {
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

	// The platform applies the write, but the response is lost. If the holder did not
	// detect this, the shard would be idle for a whole period.
	@Test
	void shouldDetectOwnWriteAfterLostResponse() {
		this.first.refresh().join();
		this.faulty.plan((call) -> call.writes() ? Fault.ANSWER_LOST : Fault.NONE);
		assertThat(this.first.acquire().join()).isPresent();
		assertThat(this.first.renew().join()).isTrue();
		assertThat(record().epoch()).isEqualTo(1);
	}

	// The response is lost and the platform cannot be read. The keeper must not assume
	// that it holds the lease; later it acquires its own record immediately, with an
	// epoch above any that it may have used.
	@Test
	void shouldAcquireOwnEarlierRecordWithHigherEpoch() {
		this.first.refresh().join();
		this.faulty.plan((call) -> call.writes() ? Fault.ANSWER_LOST : Fault.REFUSED);
		assertThat(this.first.acquire().isCompletedExceptionally()).isTrue();
		assertThat(this.first.held()).isEmpty();
		this.faulty.plan(Fault.NONE);
		assertThat(refreshAndAcquire(this.first)).hasValue(new Lease(NAME, 2, "entry-a", PERIOD));
	}

	// The holder's process is paused, by its host or by garbage collection, and resumes
	// after another entry has acquired the lease. It must detect this, or two entries
	// would work on the shard.
	@Test
	void shouldDetectLossOfLeaseAfterPause() {
		refreshAndAcquire(this.first);
		this.second.refresh().join();
		this.time.advance(PERIOD);
		assertThat(refreshAndAcquire(this.second)).isPresent();
		assertThat(this.first.held()).isEmpty();
		assertThat(this.first.renew().join()).isFalse();
		assertThat(refreshAndAcquire(this.first)).isEmpty();
		assertThat(record().holder()).isEqualTo("entry-b");
	}

	// The platform is unavailable for an hour and no other entry can acquire the lease.
	// Afterwards the holder continues under the same epoch, so that its running items
	// are not rejected as outdated.
	@ParameterizedTest
	@EnumSource(names = { "REFUSED", "REQUEST_LOST" })
	void shouldContinueWithSameEpochAfterOutage(Fault fault) {
		refreshAndAcquire(this.first);
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
	void shouldBeAvailableImmediatelyAfterRelease() {
		refreshAndAcquire(this.first);
		this.first.release().join();
		assertThat(this.first.held()).isEmpty();
		assertThat(record()).isEqualTo(new Lease(NAME, 1, "", PERIOD));
		assertThat(refreshAndAcquire(this.second)).hasValue(new Lease(NAME, 2, "entry-b", PERIOD));
	}

	// The platform rejects the release. The entry must not hold the lease any longer;
	// another entry acquires it after a period, as if the first had been lost.
	@Test
	void shouldNotHoldLeaseAfterFailedRelease() {
		refreshAndAcquire(this.first);
		this.second.refresh().join();
		this.faulty.plan(Fault.REFUSED);
		this.first.release().join();
		this.faulty.plan(Fault.NONE);
		assertThat(this.first.held()).isEmpty();
		this.time.advance(PERIOD);
		assertThat(refreshAndAcquire(this.second)).isPresent();
	}

	@Test
	void shouldParseItsOwnRecord() {
		Lease lease = new Lease(NAME, 42, "entry-a", PERIOD);
		assertThat(Lease.parse(NAME, lease.text())).isEqualTo(lease);
	}

}
