package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.gateway.http.SendFailure;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.SlotSharing;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * The requests that wait for a slot, by service, and the rules of waiting. Used on the
 * event loop.
 * <p>
 * An engine admits in order of arrival, and a request that was sent there cannot be taken
 * back without cutting it. So only as many are sent as soon begin to run; the others wait
 * here, where the first slot that comes free anywhere serves them.
 */
final class OnlineQueues {

	private static final EventLog LOG = EventLog.of(OnlineQueues.class);

	/**
	 * Share of a request's time that it may wait for a slot; its caller can try elsewhere
	 * then.
	 */
	private static final double MAX_WAIT = 0.3;

	/** For callers whose request did not get a slot in time. */
	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(400);

	/**
	 * How long an upstream that could not be reached, broke off or stalled is avoided.
	 */
	private static final Duration AVOID = Duration.ofMillis(1_500);

	/** How long an upstream that said it was full is avoided. */
	private static final Duration AVOID_FULL = Duration.ofMillis(150);

	/** How long an upstream whose address another one has is avoided. */
	private static final Duration AVOID_MISDIRECTED = Duration.ofSeconds(5);

	private static final int MISDIRECTED = 421;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final OnlineContext context;

	private final Map<String, WaitQueue<OnlineExchange>> lines = new HashMap<>();

	private final StallWatch stalls;

	OnlineQueues(OnlineContext context) {
		this.context = Objects.requireNonNull(context, "context is null");
		this.stalls = new StallWatch(context.ticker(), context.timers());
	}

	/**
	 * Returns what looks for upstreams that have fallen silent.
	 * @return the watch
	 */
	StallWatch stalls() {
		return this.stalls;
	}

	/**
	 * Learns that an upstream says nothing of a request. If it says nothing of any other
	 * either, it is avoided.
	 * @param upstream the upstream
	 * @param sinceNanos since when, the ticker's reading
	 */
	void stalled(TrackedUpstream upstream, long sinceNanos) {
		if (upstream.silentSince(sinceNanos)) {
			upstream.avoidUntil(this.context.ticker().nanos() + AVOID.toNanos());
			LOG.info("upstream_avoided", "upstream", upstream, "reason", "silent", "ms", AVOID.toMillis());
		}
	}

	/**
	 * Tells which upstreams have room for an online request.
	 * @return the rule
	 */
	Placement.CapacityCheck room() {
		return SlotSharing::hasOnlineCapacity;
	}

	/**
	 * Asks the dispatcher for a slot, if slots are scarce.
	 * @param service the service
	 * @param exchange the request
	 * @return whether the request waits for the dispatcher's answer
	 */
	boolean askForSlot(String service, OnlineExchange exchange) {
		List<TrackedUpstream> serving = this.context.upstreams().serving(service);
		if (!SlotSharing.slotsScarce(serving)) {
			return false;
		}
		long now = this.context.ticker().nanos();
		Set<Integer> except = new HashSet<>();
		exchange.except().forEach((upstream) -> except.add(upstream.key()));
		serving.stream().filter((upstream) -> upstream.avoided(now)).forEach((upstream) -> except.add(upstream.key()));
		long goal = exchange.goalNanos();
		boolean asked = this.context.dispatch().requestSlot(exchange.slot(), service, except, goal);
		if (asked) {
			Duration wait = waitAtMost(service, exchange);
			LOG.info("slot_asked", "request", exchange.request().id(), "service", service, "goal_in_ms",
					(goal - now) / NANOS_PER_MILLI, "at_most_ms", wait.toMillis(), "except", except.size());
		}
		return asked;
	}

	/**
	 * Lets a request wait, or refuses it if it cannot be served in its time.
	 * @param service the service
	 * @param exchange the request
	 */
	void enter(String service, OnlineExchange exchange) {
		line(service).add(exchange);
		Duration wait = waitAtMost(service, exchange);
		LOG.info("waiting", "request", exchange.request().id(), "service", service, "at_most_ms", wait.toMillis(),
				"upstreams", this.context.upstreams().serving(service).size());
	}

	private Duration waitAtMost(String service, OnlineExchange exchange) {
		Duration left = exchange.request().deadline().remaining().orElse(exchange.request().route().timeout());
		Duration wait = Duration.ofMillis((long) (left.toMillis() * MAX_WAIT));
		exchange.patience(this.context.timers().schedule(wait, () -> {
			leave(service, exchange);
			exchange.refuse(DEFAULT_RETRY_AFTER);
		}));
		return wait;
	}

	/**
	 * Takes a request out that no longer waits.
	 * @param service the service
	 * @param exchange the request
	 */
	void leave(String service, OnlineExchange exchange) {
		line(service).remove(exchange);
		this.context.dispatch().cancel(exchange.slot());
	}

	/**
	 * Learns that there may be room.
	 * @param service the service
	 */
	void freed(String service) {
		WaitQueue<OnlineExchange> line = this.lines.get(service);
		if (line != null && line.size() > 0) {
			this.context.timers().schedule(Duration.ZERO, () -> line.drain(OnlineExchange::tryPlace));
		}
	}

	/**
	 * Learns that there may be room somewhere.
	 */
	void changed() {
		this.lines.keySet().forEach(this::freed);
	}

	/**
	 * Learns that an upstream said that it did not run a request.
	 * @param upstream the upstream
	 * @param status its status
	 */
	void refused(TrackedUpstream upstream, int status) {
		upstream.avoidUntil(
				this.context.ticker().nanos() + ((status == MISDIRECTED) ? AVOID_MISDIRECTED : AVOID_FULL).toNanos());
	}

	/**
	 * Learns that an upstream could not be reached or broke off.
	 * @param upstream the upstream
	 * @param failure what is known of the request
	 */
	void failed(TrackedUpstream upstream, SendFailure failure) {
		int failures = upstream.recordFailure();
		if (failures > 1 || failure == SendFailure.NOT_SENT) {
			upstream.avoidUntil(this.context.ticker().nanos() + AVOID.toNanos());
			LOG.info("upstream_avoided", "upstream", upstream, "reason", failure, "failures", failures, "ms",
					AVOID.toMillis());
		}
	}

	private WaitQueue<OnlineExchange> line(String service) {
		return this.lines.computeIfAbsent(service, (name) -> new WaitQueue<>());
	}

}
