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
 * Requests of one service that wait because each of its upstreams has as many as it runs.
 * The lock is taken only while some wait.
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
	 * Tells whether requests wait. One that comes now must not overtake them.
	 * @return whether the queue is in use
	 */
	boolean busy() {
		return this.size > 0;
	}

	synchronized EnqueueResult<OnlineExchange> offer(QueuedRequest<OnlineExchange> ticket) {
		EnqueueResult<OnlineExchange> placing = this.queue.offer(ticket);
		this.size = this.queue.size();
		return placing;
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

	private synchronized Optional<OnlineExchange> next() {
		Optional<QueuedRequest<OnlineExchange>> first = this.queue.poll();
		this.size = this.queue.size();
		return first.map(QueuedRequest::item);
	}

	/**
	 * Learns that an upstream has ended a request.
	 * @param upstream the upstream
	 */
	void released(Upstream upstream) {
		this.queue.requestEnded();
		if (this.size > 0 && !upstream.full()) {
			next().ifPresent(OnlineExchange::turn);
		}
	}

	/**
	 * Gives turns for the room that reports have shown since, and takes out what waited
	 * too long.
	 */
	void sweep() {
		if (this.size == 0) {
			return;
		}
		expired().forEach(OnlineExchange::turn);
		RouteTable table = this.router.table();
		int room = table.upstreams()
			.stream()
			.mapToInt((upstream) -> Math.max(0, upstream.limit() - upstream.load()))
			.sum();
		List<OnlineExchange> turns = new ArrayList<>();
		// Without any upstream none will get room; each then gives its own answer.
		for (int i = 0; i < ((table.size() == 0) ? CAPACITY : room); i++) {
			Optional<OnlineExchange> first = next();
			if (first.isEmpty()) {
				break;
			}
			turns.add(first.get());
		}
		turns.forEach(OnlineExchange::turn);
	}

	private synchronized List<OnlineExchange> expired() {
		List<OnlineExchange> late = this.queue.removeExpired().stream().map(QueuedRequest::item).toList();
		this.size = this.queue.size();
		return late;
	}

}
