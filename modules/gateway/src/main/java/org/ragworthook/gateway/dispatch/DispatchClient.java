package org.ragworthook.gateway.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.ShareTerms;
import org.ragworthook.gateway.upstream.PrefixAffinity;

/**
 * Requests slots from the dispatcher of a service on behalf of the requests of an entry.
 * Not thread-safe: used on the event loop.
 * <p>
 * The dispatcher may be frozen, slow or gone, and datagrams may be lost. A request would
 * then be delayed although slots are free, and its caller would receive the first event
 * late. A request that is not answered within a tenth of a typical latency target
 * therefore falls back to the entry's own choice of upstream, and for a while requests go
 * to the next process in the order of preference. When a dispatcher is gone, all entries
 * thus switch to the same successor within that time, rather than only when reports from
 * the dispatcher are missing.
 */
public final class DispatchClient {

	private static final EventLog LOG = EventLog.of(DispatchClient.class);

	/**
	 * How long to wait for the dispatcher's answer: several round trips between failure
	 * domains, and a tenth of a typical latency target of 300 ms.
	 */
	static final Duration ANSWER_TIMEOUT = Duration.ofMillis(30);

	/** After how long a queued request is sent again, in case its grant was lost. */
	static final Duration RESEND_INTERVAL = Duration.ofMillis(100);

	/**
	 * How long a dispatcher that did not answer is not asked: a dead one is tried about
	 * three times before its missing reports show that it is unreachable.
	 */
	static final Duration SUSPICION_PERIOD = Duration.ofMillis(500);

	private final Ticker ticker;

	private final Timers timers;

	private final Transport transport;

	private final Map<Long, Pending> pending = new HashMap<>();

	private final Map<String, Long> suspectedUntilNanos = new HashMap<>();

	private long lastRequestNumber;

	private DispatchClient(Ticker ticker, Timers timers, Transport transport) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.transport = Objects.requireNonNull(transport, "transport is null");
	}

	/**
	 * Returns a client without pending requests.
	 * @param ticker the monotonic clock
	 * @param timers schedules tasks on the event loop
	 * @param transport sends queries to dispatchers
	 * @return a new client
	 */
	public static DispatchClient of(Ticker ticker, Timers timers, Transport transport) {
		return new DispatchClient(ticker, timers, transport);
	}

	/**
	 * Requests a slot from the dispatcher of a service.
	 * @param requester receives the answer
	 * @param service the service
	 * @param excluded keys of upstreams that must not be chosen
	 * @param startTargetNanos the ticker's reading in nanoseconds by which the request
	 * has to start running to meet its latency target
	 * @return whether a dispatcher was asked; if not, the entry has to choose an upstream
	 * itself
	 */
	public boolean requestSlot(SlotRequester requester, String service, Set<Integer> excluded, long startTargetNanos) {
		Optional<String> dispatcher = this.transport.dispatcher(service, (name) -> !suspected(name));
		if (dispatcher.isEmpty()) {
			return false;
		}
		Pending request = new Pending(++this.lastRequestNumber, requester, service, dispatcher.get(),
				Set.copyOf(excluded), startTargetNanos);
		this.pending.put(request.number, request);
		request.send();
		return true;
	}

	private boolean suspected(String dispatcher) {
		Long until = this.suspectedUntilNanos.get(dispatcher);
		return until != null && until - this.ticker.nanos() > 0;
	}

	/**
	 * Cancels the slot request of a requester that no longer needs a slot. A slot that is
	 * granted all the same becomes free with this entry's next report.
	 * @param requester the requester
	 */
	public void cancel(SlotRequester requester) {
		for (Pending request : List.copyOf(this.pending.values())) {
			if (request.requester == requester) {
				request.remove();
			}
		}
	}

	/**
	 * Called when the dispatcher has queued a request.
	 * @param number the request's number
	 */
	void queued(long number) {
		Pending request = this.pending.get(number);
		if (request != null) {
			request.queued();
		}
	}

	/**
	 * Called when the dispatcher has granted a request a slot.
	 * @param number the request's number
	 * @param upstreamKey the key of the upstream
	 * @param preempts whether a batch item has to be preempted for the slot
	 */
	void granted(long number, int upstreamKey, boolean preempts) {
		Pending request = this.pending.get(number);
		if (request != null) {
			request.remove();
			request.requester.granted(upstreamKey, preempts);
		}
	}

	/**
	 * Called when the dispatcher has refused a request. A second answer to a request has
	 * no effect, nor has one that arrives after the entry has chosen an upstream itself.
	 * @param number the request's number
	 * @param retryAfter the time after which the caller may retry
	 */
	void refused(long number, Duration retryAfter) {
		Pending request = this.pending.get(number);
		if (request != null) {
			request.remove();
			LOG.info("slot_refused", "request", request.requester.requestId(), "dispatcher", request.dispatcher,
					"service", request.service, "retry_after_ms", retryAfter.toMillis());
			request.requester.refused(retryAfter);
		}
	}

	private void timedOut(Pending request) {
		LOG.info("dispatcher_silent", "request", request.requester.requestId(), "dispatcher", request.dispatcher,
				"service", request.service, "after_ms", ANSWER_TIMEOUT.toMillis(), "suspected_ms",
				SUSPICION_PERIOD.toMillis());
		this.suspectedUntilNanos.put(request.dispatcher, this.ticker.nanos() + SUSPICION_PERIOD.toNanos());
		List<Pending> sameDispatcher = this.pending.values()
			.stream()
			.filter((other) -> other.dispatcher.equals(request.dispatcher))
			.toList();
		sameDispatcher.forEach(Pending::remove);
		sameDispatcher.forEach((other) -> other.requester.dispatcherTimedOut());
	}

	/** A request that was sent to a dispatcher. */
	private final class Pending {

		private final long number;

		private final SlotRequester requester;

		private final String service;

		private final String dispatcher;

		private final Set<Integer> excluded;

		private final long startTargetNanos;

		private Timers.Timer timer;

		Pending(long number, SlotRequester requester, String service, String dispatcher, Set<Integer> excluded,
				long startTargetNanos) {
			this.number = number;
			this.requester = requester;
			this.service = service;
			this.dispatcher = dispatcher;
			this.excluded = excluded;
			this.startTargetNanos = startTargetNanos;
		}

		void send() {
			DispatchClient client = DispatchClient.this;
			Duration untilTarget = Duration.ofNanos(this.startTargetNanos - client.ticker.nanos());
			client.transport.send(this.dispatcher,
					new SlotQuery(this.number, this.requester.requestId(), this.service, this.excluded,
							this.requester.prefixAffinity(), untilTarget, this.requester.terms(),
							this.requester.retryWithin()));
			restartTimer(ANSWER_TIMEOUT, () -> client.timedOut(this));
		}

		void queued() {
			restartTimer(RESEND_INTERVAL, this::send);
		}

		void remove() {
			DispatchClient.this.pending.remove(this.number);
			this.timer.cancel();
		}

		private void restartTimer(Duration delay, Runnable task) {
			if (this.timer != null) {
				this.timer.cancel();
			}
			this.timer = DispatchClient.this.timers.schedule(delay, task);
		}

	}

	/**
	 * A query for a slot, as sent to a dispatcher.
	 *
	 * @param number this entry's number of the request, the same when it is sent again
	 * @param requestId the caller's id of the request, for the log
	 * @param service the service
	 * @param excluded keys of upstreams that must not be chosen
	 * @param prefixAffinity the upstreams that are likely to have the prompt's prefix
	 * cached
	 * @param untilStartTarget time until the request has to start running to meet its
	 * latency target; negative if it is late
	 * @param terms the terms on which the request competes with those of other accounts
	 * @param retryWithin the longest time after which the caller can still retry, or 0 if
	 * the request must not be refused
	 */
	public record SlotQuery(long number, String requestId, String service, Set<Integer> excluded,
			PrefixAffinity prefixAffinity, Duration untilStartTarget, ShareTerms terms, Duration retryWithin) {
	}

	/** A request that needs a slot. */
	public interface SlotRequester {

		/**
		 * Returns the caller's id of the request.
		 * @return the id, for the log
		 */
		String requestId();

		/**
		 * Returns the upstreams that are likely to have the prompt's prefix cached.
		 * @return the affinity
		 */
		PrefixAffinity prefixAffinity();

		/**
		 * Returns the terms on which the request competes with those of other accounts.
		 * @return the terms
		 */
		ShareTerms terms();

		/**
		 * Returns the longest time after which the caller can still retry if the request
		 * is refused now.
		 * @return the time, or 0 if the request must not be refused
		 */
		Duration retryWithin();

		/**
		 * Called when the request was granted a slot.
		 * @param upstreamKey the key of the upstream
		 * @param preempts whether a batch item has to be preempted for the slot
		 */
		void granted(int upstreamKey, boolean preempts);

		/**
		 * Called when the dispatcher has refused the request, so that it has no place in
		 * the dispatcher's queue.
		 * @param retryAfter the time after which the caller may retry
		 */
		void refused(Duration retryAfter);

		/**
		 * Called when the dispatcher did not answer in time; the entry has to choose an
		 * upstream itself.
		 */
		void dispatcherTimedOut();

	}

	/** Locates dispatchers and sends queries to them. */
	public interface Transport {

		/**
		 * Returns the process that dispatches the slots of a service. Entries that can
		 * reach the same processes and accept all of them get the same one. Processes
		 * that cannot be reached from this one are left out, since a query to them would
		 * only delay requests.
		 * @param service the service
		 * @param usable accepts the processes that may be asked
		 * @return the name of a process, or empty if there is none
		 */
		Optional<String> dispatcher(String service, Predicate<String> usable);

		/**
		 * Sends a query for a slot.
		 * @param dispatcher the name of the process
		 * @param query the query
		 */
		void send(String dispatcher, SlotQuery query);

	}

}
