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

	// Watches repeat events, listings overtake them, and a peer that was cut off offers
	// what it last knew. Whatever the order, an operator who looks twice must never see
	// an
	// older version the second time.
	@Property(seed = "42", tries = 200)
	void shouldOnlyMoveForward(@ForAll @Size(max = 40) List<@IntRange(min = 1, max = 9) Integer> versions) {
		ActiveContract inForce = ActiveContract.empty();
		List<Long> told = new ArrayList<>();
		inForce.addListener((contract) -> told.add(contract.version()));
		long highest = 0;
		for (int version : versions) {
			assertThat(inForce.offer(Texts.revision(version, Texts.desk()))).isEqualTo(version > highest);
			highest = Math.max(highest, version);
			assertThat(inForce.version()).isEqualTo(highest);
		}
		assertThat(told).isInStrictOrder();
	}

	// A process of an older build is handed a text whose keys it does not know. It must
	// go
	// on serving by the text it has.
	@Test
	void shouldKeepTheTextInForceWhenTheNextCannotBeRead() {
		ActiveContract inForce = ActiveContract.empty();
		inForce.offer(Texts.revision(1, Texts.desk()));
		Revision strange = Texts.revision(2, Texts.desk("\"colour\": 1"));
		assertThat(Texts.failureOf(() -> inForce.offer(strange)).code()).isEqualTo(ErrorCode.CONFIG_INVALID);
		assertThat(inForce.version()).isEqualTo(1);
	}

	// The platform drops every watch and is then away for a while; changes are accepted
	// in
	// between. The process must catch up by itself, without a restart.
	@Test
	void shouldCatchUpAfterAGapInTheWatch() {
		MemoryObjectStore memory = MemoryObjectStore.empty();
		FaultyStore store = FaultyStore.over(memory);
		ContractRepository register = ContractRepository.of(memory, ConditionalWriter.of(memory, Stamps.of("entry-2")),
				() -> Instant.EPOCH);
		ManualTime time = ManualTime.of();
		ActiveContract inForce = ActiveContract.empty();
		List<Throwable> failures = new ArrayList<>();
		try (ContractWatch watch = ContractWatch.start(store, inForce, time, new Random(1), Runnable::run,
				failures::add)) {
			register.accept(new Proposal(Texts.desk(), 0, "ana", "first", false), 0, OpenJobCounts.none()).join();
			assertThat(inForce.version()).isEqualTo(1);
			store.failCallsFrom(1, FaultyStore.Fault.OUTAGE);
			memory.endWatches();
			time.advance(Duration.ofSeconds(30));
			register.accept(new Proposal(Texts.weight(3), 1, "ana", "gap", false), 0, OpenJobCounts.none()).join();
			assertThat(inForce.version()).isEqualTo(1);
			store.heal();
			time.advance(Duration.ofSeconds(5));
			assertThat(inForce.version()).isEqualTo(2);
			assertThat(failures).isNotEmpty();
		}
	}

}
