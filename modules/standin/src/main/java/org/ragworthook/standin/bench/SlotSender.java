package org.ragworthook.standin.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.job.ItemOutcome;
import org.ragworthook.core.job.ItemRequest;
import org.ragworthook.core.job.ItemSender;
import org.ragworthook.core.job.JobId;

/**
 * Sidecars with a number of slots, whose items end when they are told to.
 */
final class SlotSender implements ItemSender {

	private static final String ANSWER = "{\"object\":\"chat.completion\",\"text\":\"" + "x".repeat(550) + "\"}";

	private final Deque<CompletableFuture<ItemOutcome>> running = new ArrayDeque<>();

	private final int slots;

	private int starts;

	SlotSender(int slots) {
		this.slots = slots;
	}

	@Override
	public int freeSlots(String route) {
		return this.slots - this.running.size();
	}

	@Override
	public CompletableFuture<ItemOutcome> send(ItemRequest request) {
		this.starts++;
		CompletableFuture<ItemOutcome> outcome = new CompletableFuture<>();
		this.running.add(outcome);
		return outcome;
	}

	@Override
	public void cancel(JobId job) {
		while (!this.running.isEmpty()) {
			this.running.poll().complete(new ItemOutcome.Cancelled());
		}
	}

	@Override
	public void recall(JobId job) {
		cancel(job);
	}

	int starts() {
		return this.starts;
	}

	/**
	 * Lets items end, the oldest first.
	 * @param most how many at most
	 * @return how many did
	 */
	int end(int most) {
		int ended = 0;
		while (ended < most && !this.running.isEmpty()) {
			this.running.poll().complete(new ItemOutcome.Answered(200, ANSWER));
			ended++;
		}
		return ended;
	}

}
