package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.ragworthook.core.admission.FairShareQueue;
import org.ragworthook.core.admission.ServiceOrder;
import org.ragworthook.core.admission.WaitingRequest;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.account.PassShares;
import org.ragworthook.gateway.account.ShareTerms;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * The requests that wait for a slot, by service, and the upstreams that are avoided after
 * failures. Used on the event loop.
 * <p>
 * An engine admits requests in order of arrival, and a request that was sent to one can
 * only be taken back by cancelling it. Therefore an engine is sent only as many requests
 * as will begin to run soon; the others wait here for the first slot that is freed at any
 * upstream.
 * <p>
 * While the configuration has client accounts, an entry whose dispatcher does not answer
 * shares the slots among them here by the last reports of its peers. It refuses nothing
 * early, since it does not know how many of the slots that become free it will get.
 */
final class OnlineQueues {

	private static final EventLog LOG = EventLog.of(OnlineQueues.class);

	/**
	 * Share of a request's remaining time that it may wait for a slot; its caller can use
	 * the rest to try another entry.
	 */
	private static final double MAX_WAIT_SHARE = 0.3;

	/**
	 * Least retry time for callers whose request did not get a slot in time.
	 */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(400);

	/**
	 * How long an upstream is avoided at least that could not be reached, broke off or
	 * stalled.
	 */
	private static final Duration AVOID_FAILED = Duration.ofMillis(1_500);

	/**
	 * How long an upstream is avoided at least that rejected a request because it was
	 * full.
	 */
	private static final Duration AVOID_FULL = Duration.ofMillis(150);

	/** How long an upstream is avoided whose address now belongs to another one. */
	private static final Duration AVOID_MISDIRECTED = Duration.ofSeconds(5);

	private static final int MISDIRECTED = 421;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final OnlineContext context;

	private final Map<String, FairShareQueue<OnlineExchange>> queues = new HashMap<>();

	private final StallDetector stallDetector;

	OnlineQueues(OnlineContext context) {
		this.context = Objects.requireNonNull(context, "context is null");
		this.stallDetector = new StallDetector(context.ticker(), context.timers());
	}

	/**
	 * Returns the detector of stalled upstreams.
	 * @return the detector
	 */
	StallDetector stallDetector() {
		return this.stallDetector;
	}

	/**
	 * Called when an upstream has stalled for a request. Avoids the upstream if it has
	 * sent nothing for any other request either.
	 * @param upstream the upstream
	 * @param sinceNanos when the request was last active, a reading of the ticker
	 */
	void stalled(TrackedUpstream upstream, long sinceNanos) {
		if (upstream.silentSince(sinceNanos)) {
			Duration avoided = pause(upstream.descriptor().service(), AVOID_FAILED);
			upstream.avoidUntil(this.context.ticker().nanos() + avoided.toNanos());
			LOG.info("upstream_avoided", "upstream", upstream, "reason", "silent", "ms", avoided.toMillis());
		}
	}

	/**
	 * Returns the check whether an upstream has capacity for an online request.
	 * @return the check
	 */
	Placement.CapacityCheck onlineCapacity() {
		return SlotSharing::hasOnlineCapacity;
	}

	/**
	 * Requests a slot from the dispatcher if slots are scarce.
	 * @param service the request's service
	 * @param exchange the request
	 * @return whether the request now waits for the dispatcher
	 */
	boolean requestSlot(String service, OnlineExchange exchange) {
		List<TrackedUpstream> serving = this.context.upstreams().serving(service);
		this.context.placement().refreshSpeeds(serving);
		if (!SlotSharing.slotsScarce(serving)) {
			return false;
		}
		long now = this.context.ticker().nanos();
		Set<Integer> excluded = new HashSet<>();
		exchange.excluded().forEach((upstream) -> excluded.add(upstream.key()));
		serving.stream()
			.filter((upstream) -> upstream.avoided(now))
			.forEach((upstream) -> excluded.add(upstream.key()));
		long target = exchange.sendTargetNanos();
		boolean asked = this.context.dispatch().requestSlot(exchange.slotRequest(), service, excluded, target);
		if (asked) {
			Duration wait = limitWait(service, exchange);
			LOG.info("slot_asked", "request", exchange.request().id(), "service", service, "goal_in_ms",
					(target - now) / NANOS_PER_MILLI, "at_most_ms", wait.toMillis(), "excluded", excluded.size());
		}
		return asked;
	}

	/**
	 * Adds a request to the queue of its service and limits the time that it waits.
	 * @param service the request's service
	 * @param exchange the request
	 */
	void enqueue(String service, OnlineExchange exchange) {
		long now = this.context.ticker().nanos();
		ShareTerms terms = exchange.request().terms();
		queue(service).add(new WaitingRequest<>(exchange, terms.account(), terms.weight(), terms.priority(),
				exchange.sendTargetNanos(), now + exchange.slotRequest().retryWithin().toNanos()));
		Duration wait = limitWait(service, exchange);
		LOG.info("waiting", "request", exchange.request().id(), "service", service, "at_most_ms", wait.toMillis(),
				"upstreams", this.context.upstreams().serving(service).size());
	}

	private Duration limitWait(String service, OnlineExchange exchange) {
		Duration left = exchange.request().deadline().remaining().orElse(exchange.request().route().timeout());
		Duration wait = Duration.ofMillis((long) (left.toMillis() * MAX_WAIT_SHARE));
		exchange.waitTimer(this.context.timers().schedule(wait, () -> {
			remove(service, exchange);
			exchange.reject(pause(service, DEFAULT_RETRY_AFTER));
		}));
		return wait;
	}

	/**
	 * Removes a request that no longer waits, from its queue and at the dispatcher.
	 * @param service the request's service
	 * @param exchange the request
	 */
	void remove(String service, OnlineExchange exchange) {
		queue(service).remove(exchange);
		this.context.dispatch().cancel(exchange.slotRequest());
	}

	/**
	 * Called when upstreams of a service may have room; places waiting requests.
	 * @param service the service
	 */
	void capacityFreed(String service) {
		FairShareQueue<OnlineExchange> queue = this.queues.get(service);
		if (queue != null && queue.size() > 0) {
			this.context.timers().schedule(Duration.ZERO, () -> drain(queue));
		}
	}

	private void drain(FairShareQueue<OnlineExchange> queue) {
		PassShares shares = PassShares.of(this.context.accounts());
		queue.drain(this.context.ticker().nanos(), shares,
				(exchange) -> shares.place(exchange.request().terms().tag(), exchange::tryPlace));
	}

	/**
	 * Called when any upstream may have room; places waiting requests of all services.
	 */
	void capacityChanged() {
		this.queues.keySet().forEach(this::capacityFreed);
	}

	/**
	 * Called when an upstream has stated that it did not execute a request; avoids the
	 * upstream.
	 * @param upstream the upstream
	 * @param status the HTTP status of its response
	 */
	void upstreamRejected(TrackedUpstream upstream, int status) {
		Duration avoided = (status == MISDIRECTED) ? AVOID_MISDIRECTED
				: pause(upstream.descriptor().service(), AVOID_FULL);
		upstream.avoidUntil(this.context.ticker().nanos() + avoided.toNanos());
	}

	/**
	 * Called when an upstream could not be reached or broke off a response. Avoids an
	 * upstream that cannot be reached, and others from the second failure in a row.
	 * @param upstream the upstream
	 * @param failure how the attempt failed
	 */
	void upstreamFailed(TrackedUpstream upstream, SendFailure failure) {
		int failures = upstream.recordFailure();
		if (failures > 1 || failure == SendFailure.NOT_SENT) {
			Duration avoided = pause(upstream.descriptor().service(), AVOID_FAILED);
			upstream.avoidUntil(this.context.ticker().nanos() + avoided.toNanos());
			LOG.info("upstream_avoided", "upstream", upstream, "reason", failure, "failures", failures, "ms",
					avoided.toMillis());
		}
	}

	private Duration pause(String service, Duration lowerBound) {
		return this.context.speeds().times(service).pause(lowerBound);
	}

	private FairShareQueue<OnlineExchange> queue(String service) {
		return this.queues.computeIfAbsent(service,
				(name) -> FairShareQueue.<OnlineExchange>builder().order(ServiceOrder.arrival()).build());
	}

}
