package org.ragworthook.standin.demo;

import java.util.List;
import java.util.Random;

import org.ragworthook.core.contract.ServiceType;
import org.ragworthook.standin.load.Arrivals;
import org.ragworthook.standin.load.OnlineLoad;
import org.ragworthook.standin.load.OnlineReport;
import org.ragworthook.standin.load.Target;

/**
 * Measures what entry and sidecar add to the latency of an engine: in one run each call
 * goes, by lot, either to an entry or to an engine directly.
 */
public final class OnlineBench {

	private static final String DIRECT = "direct";

	private static final String THROUGH = "through";

	private static final double WARM_UP_SHARE = 0.3;

	private static final double[] PERCENTILES = { 50, 95, 99 };

	private final LiveDeployment deployment;

	private final DemoOptions options;

	private final OnlineReport report = OnlineReport.empty();

	private volatile String prefix = "warm-up ";

	/**
	 * Creates a measurement.
	 * @param plan the processes, which the script has started
	 * @param options how long and how much
	 */
	public OnlineBench(DemoPlan plan, DemoOptions options) {
		this.deployment = new LiveDeployment(plan);
		this.options = options;
	}

	/**
	 * Measures.
	 * @return the exit code: 0 if every answer was whole
	 */
	public int run() {
		Fleet fleet = this.deployment.fleet();
		if (!this.deployment.bringUp(new ConfigPart(fleet, this.deployment.script()))) {
			return 1;
		}
		List<Target> engines = fleet.plan()
			.sidecars(ServiceType.MODEL)
			.stream()
			.map((sidecar) -> Target.of(sidecar.upstream().orElseThrow()))
			.toList();
		Random lot = new Random(this.options.seed());
		OnlineLoad load = new OnlineLoad(this.deployment.vertx(), this.deployment.prompts(this.options.seed()),
				Arrivals.of(this.options.rate(), this.options.seed()),
				(number) -> lot.nextBoolean() ? OnlineLoad.Route.rotating(this.prefix + DIRECT, engines, number)
						: new OnlineLoad.Route(this.prefix + THROUGH, this.deployment.balancer().targets(number)),
				this.report)
			.start();
		Script.pause(this.options.seconds() * WARM_UP_SHARE);
		this.prefix = "";
		Script.pause(this.options.seconds() * (1 - WARM_UP_SHARE));
		load.stop().join();
		print();
		this.deployment.close();
		return this.report.notWhole().isEmpty() ? 0 : 1;
	}

	private void print() {
		Script script = this.deployment.script();
		script.print(this.report.table());
		for (double percentile : PERCENTILES) {
			double direct = this.report.firstTokenMillis(DIRECT, percentile);
			double through = this.report.firstTokenMillis(THROUGH, percentile);
			script.print(String.format("first token p%.0f: %.2f ms direct, %.2f ms through, %+.2f ms, x %.3f",
					percentile, direct, through, through - direct, through / direct));
		}
	}

}
