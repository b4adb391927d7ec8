package org.ragworthook.standin.demo;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.ragworthook.core.contract.Service;
import org.ragworthook.core.contract.ServiceType;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.standin.StandInServer;
import org.ragworthook.standin.engine.EngineSettings;
import org.ragworthook.standin.engine.ModelEngine;
import org.ragworthook.standin.platform.InstanceListApi;
import org.ragworthook.standin.platform.ObjectApi;
import org.ragworthook.standin.service.PlainService;
import org.ragworthook.standin.service.WeightStore;

/**
 * The stand-ins of a plan.
 */
public final class PlannedStandIns {

	private static final Duration LIST_LAG = Duration.ofSeconds(2);

	private static final long BOOKING_MILLIS = 20;

	/**
	 * With every slot taken a step takes 32 ms, which is near the pace that callers
	 * expect. Faster engines would measure this machine's processors instead of the
	 * system.
	 */
	private static final Duration TOKEN_TIME = Duration.ofMillis(20);

	private static final Duration TOKEN_GROWTH = Duration.ofNanos(800_000);

	private static final double DOWNLOADS_PER_SECOND = 2;

	private static final int WEIGHT_BYTES = 1 << 16;

	private PlannedStandIns() {
	}

	/**
	 * Returns the stand-ins of a plan by name.
	 * @param plan the plan
	 * @return servers that do not listen yet
	 */
	public static Map<String, StandInServer> of(DemoPlan plan) {
		Map<String, StandInServer> servers = new LinkedHashMap<>();
		servers.put("object-api", new ObjectApi(plan.objectApi().port()));
		servers.put("instances", new InstanceListApi(plan.instanceList().port(), LIST_LAG));
		servers.put("weights", new WeightStore(plan.weightStore().port(), DOWNLOADS_PER_SECOND, WEIGHT_BYTES));
		EngineSettings engine = engine(plan);
		for (PlannedProcess sidecar : plan.sidecars(ServiceType.MODEL)) {
			servers.put("upstream of " + sidecar.name(), new ModelEngine(port(sidecar), engine));
		}
		for (PlannedProcess sidecar : plan.sidecars(ServiceType.PLAIN)) {
			servers.put("upstream of " + sidecar.name(), new PlainService(port(sidecar), BOOKING_MILLIS));
		}
		return servers;
	}

	private static EngineSettings engine(DemoPlan plan) {
		Service service = plan.deployment().modelService();
		return EngineSettings.builder()
			.models(service.models().stream().map((model) -> model.id()).toList())
			.slots(plan.slots())
			.tokenTime(TOKEN_TIME, TOKEN_GROWTH)
			.fencingChecked(service.checksFencing())
			.weightsPort(plan.weightStore().port())
			.build();
	}

	/**
	 * Returns what the engines of a plan generate with every slot taken.
	 * @param plan the plan
	 * @return tokens a second over all engines, prompts not counted
	 */
	static double fullTokensPerSecond(DemoPlan plan) {
		EngineSettings engine = engine(plan);
		double step = engine.tokenTime().toNanos() + engine.tokenGrowth().toNanos() * (engine.slots() - 1.0);
		return plan.sidecars(ServiceType.MODEL).size() * engine.slots() * 1e9 / step;
	}

	private static int port(PlannedProcess sidecar) {
		return sidecar.upstream().map(Address::port).orElseThrow();
	}

}
