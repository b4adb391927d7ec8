package org.ragworthook.standin.capacity;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.ragworthook.core.contract.ContractRegister;
import org.ragworthook.core.contract.ContractWatch;
import org.ragworthook.core.contract.InForce;
import org.ragworthook.core.contract.OpenWork;
import org.ragworthook.core.contract.Proposal;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.ManualTime;

/**
 * The calls to the store and the events that keep the contract in force, by entries.
 */
final class WatchPart implements Part {

	private static final int MINUTES = 10;

	private static final double SECONDS = MINUTES * 60.0;

	@Override
	public String name() {
		return "contract-watches";
	}

	@Override
	public String counted() {
		return "entries";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(3, 40, 320);
	}

	@Override
	public List<Quantity> measure(int size) {
		CountingStore store = new CountingStore(MemoryObjectStore.empty());
		ManualTime time = ManualTime.of();
		Random random = new Random(size);
		IntStream.range(0, size)
			.forEach((number) -> ContractWatch.start(store, InForce.empty(), time, random, Runnable::run, (failure) -> {
				throw new IllegalStateException(failure);
			}));
		store.reset();
		time.advance(Duration.ofMinutes(MINUTES));
		double lists = store.reads() / SECONDS;
		double watches = store.watches() / SECONDS;
		store.reset();
		ContractRegister register = ContractRegister.of(store, ConditionalWriter.of(store, Stamps.of("bench")),
				InstantSource.fixed(Instant.EPOCH));
		register.accept(new Proposal(ContractTexts.of(10, 2), 0, "bench", "capacity", false), 0, OpenWork.none())
			.join();
		return List.of(new Quantity("lists a second", lists), new Quantity("watches opened a second", watches),
				new Quantity("events for a change", store.events()),
				new Quantity("writes for a change", store.writes()), new Quantity("reads for a change", store.reads()));
	}

}
