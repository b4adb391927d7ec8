package org.ragworthook.core.contract;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

import static com.google.common.truth.Truth.assertThat;

class ActiveContractTests {

	// Watches repeat events, listings overtake them, and a peer that was partitioned
	// offers an old revision. In any order of arrival, the active version must never
	// decrease.
	@Property(seed = "42", tries = 200)
	void shouldNeverActivateAnOlderVersion(@ForAll @Size(max = 40) List<@IntRange(min = 1, max = 9) Integer> versions) {
		ActiveContract active = ActiveContract.empty();
		List<Long> announced = new ArrayList<>();
		active.addListener((contract) -> announced.add(contract.version()));
		long highest = 0;
		for (int version : versions) {
			assertThat(active.offer(ContractTexts.revision(version, ContractTexts.standard())))
				.isEqualTo(version > highest);
			highest = Math.max(highest, version);
			assertThat(active.version()).isEqualTo(highest);
		}
		assertThat(announced).isInStrictOrder();
	}

	// A process of an older release receives a contract with keys that it does not know.
	// It must keep the contract that is active.
	@Test
	void shouldKeepTheActiveContractWhenTheNextCannotBeParsed() {
		ActiveContract active = ActiveContract.empty();
		active.offer(ContractTexts.revision(1, ContractTexts.standard()));
		Revision strange = ContractTexts.revision(2, ContractTexts.standard("\"colour\": 1"));
		assertThat(ContractTexts.failureOf(() -> active.offer(strange)).code()).isEqualTo(ErrorCode.CONFIG_INVALID);
		assertThat(active.version()).isEqualTo(1);
	}

	// The store drops all watches and is then unavailable; changes are accepted in the
	// meantime. The process must catch up without a restart.
	@Test
	void shouldCatchUpAfterAWatchGap() {
		MemoryObjectStore memory = MemoryObjectStore.empty();
		FaultyStore store = FaultyStore.wrap(memory);
		ContractRepository repository = ContractRepository.of(memory,
				ConditionalWriter.of(memory, Stamps.of("entry-2")), () -> Instant.EPOCH);
		ManualTime time = ManualTime.of();
		ActiveContract active = ActiveContract.empty();
		List<Throwable> failures = new ArrayList<>();
		try (ContractWatch watch = ContractWatch.start(store, active, time, new Random(1), Runnable::run,
				failures::add)) {
			repository.accept(new Proposal(ContractTexts.standard(), 0, "ana", "first", false), 0, OpenJobCounts.none())
				.join();
			assertThat(active.version()).isEqualTo(1);
			store.failCallsFrom(1, FaultyStore.Fault.OUTAGE);
			memory.endWatches();
			time.advance(Duration.ofSeconds(30));
			repository
				.accept(new Proposal(ContractTexts.withWeight(3), 1, "ana", "gap", false), 0, OpenJobCounts.none())
				.join();
			assertThat(active.version()).isEqualTo(1);
			store.heal();
			time.advance(Duration.ofSeconds(5));
			assertThat(active.version()).isEqualTo(2);
			assertThat(failures).isNotEmpty();
		}
	}

}
