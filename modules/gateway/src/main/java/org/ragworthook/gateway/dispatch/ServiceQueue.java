package org.ragworthook.gateway.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;

import org.ragworthook.core.admission.AccountShares;
import org.ragworthook.core.admission.FairShareQueue;
import org.ragworthook.core.admission.ServiceOrder;
import org.ragworthook.core.admission.ShedRequest;
import org.ragworthook.core.admission.SlotForecast;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.account.PassShares;
import org.ragworthook.gateway.upstream.TrackedUpstream;

/**
 * The requests that wait at a dispatcher for the slots of one service. While the
 * configuration has accounts, requests of accounts above their share that could not start
 * on time are shed. Not thread-safe.
 */
final class ServiceQueue {

	private final AccountLoads loads;

	private final FairShareQueue<SlotRequest> requests = FairShareQueue.<SlotRequest>builder()
		.order(ServiceOrder.targetFirst())
		.build();

	private final FreedSlots freed = new FreedSlots();

	private List<TrackedUpstream> observed = List.of();

	ServiceQueue(AccountLoads loads) {
		this.loads = Objects.requireNonNull(loads, "loads is null");
	}

	/**
	 * Adds a request. A request that was sent again replaces its earlier copy.
	 * @param request the request
	 */
	void add(SlotRequest request) {
		this.requests.add(request.waiting());
	}

	boolean contains(SlotRequest request) {
		return this.requests.contains(request);
	}

	void removeIf(Predicate<SlotRequest> condition) {
		this.requests.removeIf(condition);
	}

	int size() {
		return this.requests.size();
	}

	/**
	 * Observes the slots in use, from time to time. Upstreams too slow for online
	 * requests are left out, since they are sent only probes: their free slots would hide
	 * that all others are taken.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param serving the upstreams of the service
	 */
	void observe(long nowNanos, List<TrackedUpstream> serving) {
		if (this.loads.active() && this.freed.due(nowNanos)) {
			List<TrackedUpstream> fleet = serving.stream().filter(TrackedUpstream::inUse).toList();
			if (!fleet.equals(this.observed)) {
				this.freed.skipInterval();
				this.observed = fleet;
			}
			int inUse = fleet.stream().mapToInt(TrackedUpstream::onlineLoad).sum();
			int slots = fleet.stream().mapToInt(TrackedUpstream::slots).sum();
			this.freed.observe(nowNanos, inUse, slots);
		}
	}

	/**
	 * Called when a request was granted a slot.
	 * @param upstream the upstream
	 */
	void recordGrant(TrackedUpstream upstream) {
		if (this.loads.active() && upstream.inUse()) {
			this.freed.recordGrant();
		}
	}

	/**
	 * Offers slots to the requests, the next one first.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @param tryPlace grants a request a slot and returns whether one was free
	 */
	void drain(long nowNanos, Predicate<SlotRequest> tryPlace) {
		if (this.requests.size() == 0) {
			return;
		}
		if (!this.loads.active()) {
			this.requests.drain(nowNanos, AccountShares.none(), tryPlace);
			return;
		}
		PassShares shares = PassShares.of(this.loads);
		this.requests.drain(nowNanos, shares,
				(request) -> shares.place(request.terms().tag(), () -> tryPlace.test(request)));
	}

	/**
	 * Removes the requests that are to be refused.
	 * @param nowNanos the ticker's reading in nanoseconds
	 * @return the requests; none while there are no accounts
	 */
	List<ShedRequest<SlotRequest>> shed(long nowNanos) {
		if (!this.loads.active() || this.requests.size() == 0) {
			return List.of();
		}
		return this.requests.shed(nowNanos, this.loads, forecast());
	}

	SlotForecast forecast() {
		return this.freed.forecast();
	}

}
