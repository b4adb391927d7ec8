package org.ragworthook.standin.capacity;

import java.util.List;
import java.util.stream.IntStream;

/**
 * What an owner keeps in memory of open jobs, while the sidecars have no room.
 */
final class JobPart implements Part {

	private static final int ITEMS = 20;

	/** Until the timers of the uploads have run out, which keep memory. */
	private static final int SETTLING_SECONDS = 120;

	@Override
	public String name() {
		return "batch-jobs";
	}

	@Override
	public String counted() {
		return "open jobs of 20 items";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(100, 500, 2_000);
	}

	@Override
	public List<Quantity> measure(int size) {
		double idle = Gauge.heapKb(() -> accepted(size));
		double owned = Gauge.heapKb(() -> {
			BatchWork work = accepted(size);
			work.start(0);
			return work;
		});
		return List.of(new Quantity("heap of the owner, KB", owned - idle));
	}

	private static BatchWork accepted(int size) {
		BatchWork work = new BatchWork();
		IntStream.range(0, size).forEach((number) -> work.accept("job-" + number, ITEMS));
		work.seconds(SETTLING_SECONDS);
		return work;
	}

}
