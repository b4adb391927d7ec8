package org.ragworthook.standin.demo;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.json.JsonObject;
import org.ragworthook.core.contract.ServiceType;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.standin.load.RestClient;
import org.ragworthook.standin.load.Target;

/**
 * The running processes and stand-ins of a demonstration, as its driver sees them.
 */
final class Fleet {

	private static final double POLL_SECONDS = 0.1;

	private final DemoPlan plan;

	Fleet(DemoPlan plan) {
		this.plan = Objects.requireNonNull(plan, "plan is null");
	}

	DemoPlan plan() {
		return this.plan;
	}

	// -- processes

	/**
	 * Waits until a condition holds.
	 * @param condition the condition
	 * @param seconds how long to wait
	 * @return whether it holds
	 */
	static boolean await(BooleanSupplier condition, int seconds) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				return false;
			}
			Script.pause(POLL_SECONDS);
		}
		return true;
	}

	boolean up(PlannedProcess process) {
		return RestClient.of(process.http(), "").fetch("/healthz").ok();
	}

	boolean ready(PlannedProcess process) {
		return RestClient.of(process.http(), "").fetch("/readyz").ok();
	}

	List<Target> entries(String key) {
		return this.plan.entries().stream().map((entry) -> new Target(entry.http(), key)).toList();
	}

	RestClient operator(PlannedProcess entry) {
		return RestClient.of(entry.http(), this.plan.deployment().operatorKey());
	}

	// -- platform

	void register(PlannedProcess process, String state) {
		RestClient.of(this.plan.instanceList(), "").post("/control/instances", process.registration(state));
	}

	void fault(JsonObject change) {
		RestClient.of(this.plan.objectApi(), "").post("/control/faults", change);
	}

	JsonObject storeCounts() {
		return RestClient.of(this.plan.objectApi(), "").fetch("/control/counts").document();
	}

	// -- upstreams

	JsonObject engine(PlannedProcess sidecar, String path) {
		Address upstream = sidecar.upstream().orElseThrow();
		return RestClient.of(upstream, "").fetch(path).document();
	}

	long sumOverEngines(String field) {
		return this.plan.sidecars(ServiceType.MODEL)
			.stream()
			.mapToLong((sidecar) -> engine(sidecar, "/control/counts").getLong(field, 0L))
			.sum();
	}

	/**
	 * Returns how often requests with a tag were started.
	 * @param tag the tag
	 * @return starts over all engines
	 */
	long starts(String tag) {
		return this.plan.sidecars(ServiceType.MODEL)
			.stream()
			.mapToLong((sidecar) -> engine(sidecar, "/control/tags").getJsonObject(tag, new JsonObject())
				.getLong("started", 0L))
			.sum();
	}

	/**
	 * Returns how often calls with a key were executed.
	 * @return executions by key over all plain services
	 */
	JsonObject executions() {
		JsonObject sum = new JsonObject();
		for (PlannedProcess sidecar : this.plan.sidecars(ServiceType.PLAIN)) {
			engine(sidecar, "/control/executions").forEach(
					(entry) -> sum.put(entry.getKey(), sum.getInteger(entry.getKey(), 0) + (Integer) entry.getValue()));
		}
		return sum;
	}

}
