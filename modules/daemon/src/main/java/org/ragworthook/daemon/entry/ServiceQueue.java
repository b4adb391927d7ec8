package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.admission.EnqueueResult;
import org.ragworthook.core.admission.FairQueue;
import org.ragworthook.core.admission.QueuedRequest;
import org.ragworthook.core.routing.RouteTable;
import org.ragworthook.core.routing.Router;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.time.Ticker;

/**
 * The queue of requests of one service that wait because every upstream is at its
 * concurrency limit. While the queue is empty, requests that start or end do not take the
 * lock.
 */
final class ServiceQueue {

	private static final int CAPACITY = 1024;

	private final Router router;

	private final FairQueue<OnlineExchange> queue;

	private volatile int size;

	ServiceQueue(Ticker ticker, Router router) {
		this.router = Objects.requireNonNull(router, "router is null");
		this.queue = FairQueue.of(ticker, CAPACITY);
	}

	/**
	 * Returns whether requests wait. A new request must then be queued too, so that it
	 * does not overtake them.
	 * @return whether the queue holds any request
	 */
	boolean nonEmpty() {
		return this.size > 0;
	}

	synchronized EnqueueResult<OnlineExchange> offer(QueuedRequest<OnlineExchange> queuedRequest) {
		EnqueueResult<OnlineExchange> result = this.queue.offer(queuedRequest);
		this.size = this.queue.size();
		return result;
	}

	synchronized void withdraw(OnlineExchange exchange) {
		if (this.size > 0) {
			this.queue.withdraw(exchange);
			this.size = this.queue.size();
		}
	}

	synchronized Duration retryAfter() {
		return this.queue.retryAfter();
	}

	private synchronized Optional<OnlineExchange> poll() {
		Optional<QueuedRequest<OnlineExchange>> first = this.queue.poll();
		this.size = this.queue.size();
		return first.map(QueuedRequest::item);
	}

	/**
	 * Called when a request has ended at an upstream. Dequeues the next request if the
	 * upstream has a free slot.
	 * @param upstream the upstream
	 */
	void requestEnded(Upstream upstream) {
		this.queue.requestEnded();
		if (this.size > 0 && !upstream.full()) {
			poll().ifPresent(OnlineExchange::dequeued);
		}
	}

	/**
	 * Removes the requests whose deadline has passed, and dequeues as many requests as
	 * the upstreams have free slots. Slots also become free without a call to
	 * {@link #requestEnded}: load reports of the sidecars show slots that other entries
	 * have freed.
	 */
	void sweep() {
		if (this.size == 0) {
			return;
		}
		removeExpired().forEach(OnlineExchange::dequeued);
		RouteTable table = this.router.table();
		int freeSlots = table.upstreams()
			.stream()
			.mapToInt((upstream) -> Math.max(0, upstream.limit() - upstream.load()))
			.sum();
		List<OnlineExchange> polled = new ArrayList<>();
		// Without an upstream no slot will become free, so every request is dequeued and
		// fails with its own error.
		for (int i = 0; i < ((table.size() == 0) ? CAPACITY : freeSlots); i++) {
			Optional<OnlineExchange> first = poll();
			if (first.isEmpty()) {
				break;
			}
			polled.add(first.get());
		}
		polled.forEach(OnlineExchange::dequeued);
	}

	private synchronized List<OnlineExchange> removeExpired() {
		List<OnlineExchange> expired = this.queue.removeExpired().stream().map(QueuedRequest::item).toList();
		this.size = this.queue.size();
		return expired;
	}

}
