package org.ragworthook.standin.capacity;

import java.util.List;

import org.ragworthook.core.job.JobRunner;

/**
 * The calls to the store that one job costs, by items of 1 KB with answers of 1 KB that
 * come at once.
 */
final class ItemPart implements Part {

	private static final int ROOM = 64;

	private static final int SECONDS = 30;

	@Override
	public String name() {
		return "batch-items";
	}

	@Override
	public String counted() {
		return "items of a job";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(1_000, 4_000, 16_000);
	}

	@Override
	public List<Quantity> measure(int size) {
		BatchWork work = new BatchWork();
		work.accept("job", size);
		Quantity accepting = new Quantity("writes to accept", work.store().writes());
		work.store().reset();
		double start = Gauge.processCpuMillis();
		JobRunner runner = work.start(ROOM);
		work.seconds(SECONDS);
		double busy = Gauge.processCpuMillis() - start;
		if (!runner.progress().join().isEmpty()) {
			throw new IllegalStateException("the job has not ended after " + SECONDS + " s");
		}
		return List.of(accepting, new Quantity("writes to run, renewals included", work.store().writes()),
				new Quantity("reads to run, looks for leases included", work.store().reads()),
				new Quantity("processor time to run, ms", busy));
	}

}
