package org.ragworthook.core.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A model of all sidecars together: they run a bounded number of items, reject lower
 * epochs and cancelled jobs, and count the attempts that they start.
 */
final class FakeSidecars {

	private final List<Running> running = new ArrayList<>();

	private final Map<String, Integer> starts = new HashMap<>();

	private final List<ItemRequest> requests = new ArrayList<>();

	private final Map<Integer, Long> fences = new HashMap<>();

	private final Set<JobId> cancelled = new HashSet<>();

	private final Set<String> disconnected = new HashSet<>();

	private final int capacity;

	private boolean fencing = true;

	FakeSidecars(int capacity) {
		this.capacity = capacity;
	}

	void withoutFencing() {
		this.fencing = false;
	}

	/**
	 * Returns the sender of one entry.
	 * @param entry the name of the entry
	 * @return the sender
	 */
	ItemSender of(String entry) {
		return new ItemSender() {

			@Override
			public int freeSlots(String route) {
				int free = FakeSidecars.this.capacity - FakeSidecars.this.running.size();
				return FakeSidecars.this.disconnected.contains(entry) ? 0 : free;
			}

			@Override
			public CompletableFuture<ItemOutcome> send(ItemRequest request) {
				return start(entry, request);
			}

			@Override
			public void cancel(JobId job) {
				FakeSidecars.this.cancelled.add(job);
				stop((item) -> item.request().id().job().equals(job));
			}

			@Override
			public void recall(JobId job) {
				stop((item) -> item.entry().equals(entry) && item.request().id().job().equals(job));
			}

		};
	}

	private CompletableFuture<ItemOutcome> start(String entry, ItemRequest request) {
		if (this.disconnected.contains(entry)) {
			return new CompletableFuture<>();
		}
		long fence = this.fences.merge(request.shard(), request.epoch(), Math::max);
		if (this.fencing && request.epoch() < fence) {
			return CompletableFuture.completedFuture(new ItemOutcome.Fenced());
		}
		if (this.cancelled.contains(request.id().job())) {
			return CompletableFuture.completedFuture(new ItemOutcome.Cancelled());
		}
		Running item = new Running(entry, request, new CompletableFuture<>());
		this.running.add(item);
		this.requests.add(request);
		this.starts.merge(request.id().requestId(), 1, Integer::sum);
		return item.outcome();
	}

	private void stop(Function<Running, Boolean> which) {
		List<Running> stopping = this.running.stream().filter(which::apply).toList();
		this.running.removeAll(stopping);
		stopping.forEach((item) -> item.outcome().complete(new ItemOutcome.Cancelled()));
	}

	void disconnect(String entry) {
		this.disconnected.add(entry);
	}

	/**
	 * Ends running items, oldest first, until none is running.
	 * @param outcome returns the outcome of an attempt
	 */
	void run(Function<ItemRequest, ItemOutcome> outcome) {
		while (!this.running.isEmpty()) {
			end(0, outcome);
		}
	}

	/**
	 * Ends one running item.
	 * @param position the position among the running items, from 0 for the oldest
	 * @param outcome returns the outcome of the attempt
	 */
	void end(int position, Function<ItemRequest, ItemOutcome> outcome) {
		Running item = this.running.remove(position);
		ItemOutcome end = outcome.apply(item.request());
		if (end instanceof ItemOutcome.NotPassedOn) {
			this.starts.merge(item.request().id().requestId(), -1, Integer::sum);
		}
		item.outcome().complete(end);
	}

	static ItemOutcome answer(ItemRequest request) {
		return new ItemOutcome.Answered(200, "{\"echo\":\"" + request.id().customId() + "\"}");
	}

	int runningCount() {
		return this.running.size();
	}

	/**
	 * Returns how many attempts at an item were passed on to an upstream.
	 * @param requestId the request identifier of the item
	 * @return the number of attempts
	 */
	int starts(String requestId) {
		return this.starts.getOrDefault(requestId, 0);
	}

	int allStarts() {
		return this.requests.size();
	}

	List<ItemRequest> requests() {
		return List.copyOf(this.requests);
	}

	private record Running(String entry, ItemRequest request, CompletableFuture<ItemOutcome> outcome) {
	}

}
