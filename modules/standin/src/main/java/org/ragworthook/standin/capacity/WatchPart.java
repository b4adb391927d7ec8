package org.ragworthook.standin.capacity;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.ContractRepository;
import org.ragworthook.core.contract.ContractWatch;
import org.ragworthook.core.contract.OpenJobCounts;
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

	private static final int ACCOUNTS = 600;

	private static final int MODELS = 30;

	private static final double BYTES_PER_KB = 1024;

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
		ContractRepository register = ContractRepository.of(store, ConditionalWriter.of(store, Stamps.of("bench")),
				InstantSource.fixed(Instant.EPOCH));
		String text = ContractTexts.of(ACCOUNTS, MODELS);
		accept(register, text, 0);
		Random random = new Random(size);
		IntStream.range(0, size)
			.forEach((number) -> ContractWatch.start(store, ActiveContract.empty(), time, random, Runnable::run,
					WatchPart::failed));
		store.reset();
		time.advance(Duration.ofMinutes(MINUTES));
		double lists = store.reads() / SECONDS;
		double watches = store.watches() / SECONDS;
		store.reset();
		accept(register, text.replace("model-0", "model-zero"), 1);
		return List.of(new Quantity("reads and lists a second", lists),
				new Quantity("watches opened a second", watches), new Quantity("events for a change", store.events()),
				new Quantity("event text for a change, KB", store.eventBytes() / BYTES_PER_KB),
				new Quantity("writes for a change", store.writes()), new Quantity("reads for a change", store.reads()));
	}

	private static void accept(ContractRepository register, String text, long base) {
		register.accept(new Proposal(text, base, "bench", "capacity", false), base, OpenJobCounts.none()).join();
	}

	private static void failed(Throwable failure) {
		throw new IllegalStateException(failure);
	}

}
