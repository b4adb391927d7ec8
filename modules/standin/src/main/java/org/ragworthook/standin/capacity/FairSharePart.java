package org.ragworthook.standin.capacity;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;

import org.ragworthook.core.admission.FairShareQueue;
import org.ragworthook.core.admission.ServiceOrder;
import org.ragworthook.core.admission.SlotForecast;
import org.ragworthook.core.admission.WaitingRequest;

/**
 * The fair queue of a dispatcher, at 15,000 requests per second of accounts the k-th of
 * which has a rate in proportion to k^-1.2. Every arrival and every slot that becomes
 * free cause a pass and a decision to shed. Time is simulated; refused callers do not
 * come back.
 */
final class FairSharePart implements Part {

	private static final int REQUESTS = 15_000;

	private static final long SECOND = 1_000_000_000;

	private static final long GAP = SECOND / REQUESTS;

	private static final long TARGET = SECOND / 4;

	private static final long LATEST_RETRY = 5 * SECOND / 3;

	private static final double NANOS_PER_MILLI = 1e6;

	@Override
	public String name() {
		return "fair-queue";
	}

	@Override
	public String counted() {
		return "accounts";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(60, 600, 6_000, 12_000);
	}

	@Override
	public List<Quantity> measure(int size) {
		return List.of(new Quantity("heap with a request of each account, KB", Gauge.heapKb(() -> filled(size))),
				new Quantity("processor time of a request at 90% of the slots, ns", nanosPerRequest(size, 0.9)),
				new Quantity("processor time of a request at 110% of the slots, ns", nanosPerRequest(size, 1.1)),
				new Quantity("processor time of a request at 150% of the slots, ns", nanosPerRequest(size, 1.5)));
	}

	private static FairShareQueue<Integer> filled(int size) {
		FairShareQueue<Integer> queue = FairShareQueue.<Integer>builder().order(ServiceOrder.targetFirst()).build();
		IntStream.range(0, size)
			.forEach((account) -> queue
				.add(new WaitingRequest<>(account, OptionalInt.of(account + 1), 1, 0, TARGET, LATEST_RETRY)));
		queue.drain(0, (account) -> 0, (item) -> false);
		return queue;
	}

	private static double nanosPerRequest(int size, double load) {
		Play play = new Play(size, load);
		return Gauge.cpuMillis(play::second) * NANOS_PER_MILLI / REQUESTS;
	}

	/** Requests at a queue; each round continues where the last one ended. */
	private static final class Play {

		private static final double RUN_SECONDS = 0.74;

		private final FairShareQueue<Long> queue = FairShareQueue.<Long>builder()
			.order(ServiceOrder.targetFirst())
			.build();

		private final int[] accounts;

		private final int[] inUse;

		private final int slots;

		private final SlotForecast forecast;

		private final Deque<Run> running = new ArrayDeque<>();

		private long arrivals;

		private Play(int size, double load) {
			this.inUse = new int[size + 1];
			this.slots = (int) (REQUESTS * RUN_SECONDS / load);
			this.forecast = new SlotForecast(this.slots / RUN_SECONDS);
			this.accounts = accounts(size);
		}

		// The accounts of one second's requests, drawn beforehand so that the draws do
		// not
		// count.
		private static int[] accounts(int size) {
			double[] upTo = IntStream.rangeClosed(1, size).mapToDouble((k) -> Math.pow(k, -1.2)).toArray();
			for (int i = 1; i < size; i++) {
				upTo[i] += upTo[i - 1];
			}
			Random random = new Random(size);
			return IntStream.range(0, REQUESTS).map((i) -> {
				int found = Arrays.binarySearch(upTo, random.nextDouble() * upTo[size - 1]);
				return 1 + ((found < 0) ? -found - 1 : found);
			}).toArray();
		}

		private void second() {
			for (int account : this.accounts) {
				long now = ++this.arrivals * GAP;
				while (!this.running.isEmpty() && this.running.peekFirst().endNanos <= now) {
					Run ended = this.running.removeFirst();
					this.inUse[ended.account]--;
					serve(ended.endNanos);
				}
				this.queue.add(new WaitingRequest<>(this.arrivals, OptionalInt.of(account), 1, 0, now + TARGET,
						now + LATEST_RETRY));
				serve(now);
				this.queue.remove(this.arrivals - 5 * REQUESTS);
			}
		}

		private void serve(long now) {
			this.queue.drain(now, (account) -> this.inUse[account], (request) -> start(request, now));
			this.queue.shed(now, (account) -> this.inUse[account], this.forecast);
		}

		private boolean start(long request, long now) {
			if (this.running.size() >= this.slots) {
				return false;
			}
			int account = this.accounts[(int) ((request - 1) % REQUESTS)];
			this.inUse[account]++;
			this.running.addLast(new Run(account, now + (long) (RUN_SECONDS * SECOND)));
			return true;
		}

		private record Run(int account, long endNanos) {
		}

	}

}
