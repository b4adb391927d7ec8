package org.ragworthook.standin.demo;

import java.util.Objects;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.load.BatchClient;
import org.ragworthook.standin.load.BatchJob;
import org.ragworthook.standin.load.OnlineLoad;
import org.ragworthook.standin.load.OnlineReport;

/**
 * Measures what batch does to online and how much of the idle capacity it uses: online
 * load goes on evenly, a job runs in every other window, and both kinds of window are
 * compared within one run.
 */
public final class BatchBench {

	private static final String ON = "batch on";

	private static final String OFF = "batch off";

	private static final String BETWEEN = "between";

	private static final int ITEMS = 20_000;

	private static final int TOKENS = 32;

	private static final double SETTLE_SECONDS = 2;

	private static final double WARM_UP_SECONDS = 8;

	private final LiveDeployment deployment;

	private final Fleet fleet;

	private final DemoOptions options;

	private final double windowSeconds;

	private final OnlineReport report = OnlineReport.empty();

	private final BatchClient client;

	private volatile String label = BETWEEN;

	private long tokensOn;

	private double secondsOn;

	private int windows;

	/**
	 * Creates a measurement.
	 * @param plan the processes, which the script has started
	 * @param options how long and how much
	 * @param windowSeconds how long batch is on and off by turns
	 */
	public BatchBench(DemoPlan plan, DemoOptions options, double windowSeconds) {
		this.deployment = new LiveDeployment(plan);
		this.fleet = this.deployment.fleet();
		this.options = Objects.requireNonNull(options, "options is null");
		this.windowSeconds = windowSeconds;
		this.client = new BatchClient(this.fleet.entries(plan.deployment().batchKey()));
	}

	/**
	 * Measures.
	 * @return the exit code: 0 if batch ran and every online answer was whole
	 */
	public int run() {
		if (!this.deployment.bringUp(new ConfigPart(this.fleet, this.deployment.script()))) {
			return 1;
		}
		OnlineLoad online = this.deployment
			.load(this.report, this.options.rate(), this.options.seed(), () -> this.label)
			.start();
		Script.pause(WARM_UP_SECONDS);
		JsonObject before = this.fleet.storeCounts();
		int pairs = (int) Math.max(1, this.options.seconds() / (2 * (this.windowSeconds + SETTLE_SECONDS)));
		boolean ran = true;
		for (int i = 0; i < pairs && ran; i++) {
			window(OFF);
			ran = windowWithBatch(i);
		}
		online.stop().join();
		print(before);
		this.deployment.close();
		return (ran && this.report.notWhole().isEmpty()) ? 0 : 1;
	}

	private void window(String name) {
		Script.pause(SETTLE_SECONDS);
		this.label = name;
		Script.pause(this.windowSeconds);
		this.label = BETWEEN;
	}

	private boolean windowWithBatch(int number) {
		BatchJob job = BatchJob.of("bench-" + number, this.fleet.plan().deployment().model(), ITEMS, TOKENS, false);
		Optional<String> id = this.client.submit(job, job.tag()).map((answer) -> answer.getString("id"));
		if (id.isEmpty() || !Fleet.await(() -> this.fleet.starts(job.tag()) > 0, 30)) {
			this.deployment.script().say("no batch item started");
			return false;
		}
		Script.pause(SETTLE_SECONDS);
		long start = System.nanoTime();
		long tokens = this.fleet.sumOverEngines("tokens");
		this.label = ON;
		Script.pause(this.windowSeconds);
		this.label = BETWEEN;
		this.tokensOn += this.fleet.sumOverEngines("tokens") - tokens;
		this.secondsOn += (System.nanoTime() - start) / 1e9;
		this.windows++;
		this.client.cancel(id.get());
		return true;
	}

	private void print(JsonObject storeBefore) {
		Script script = this.deployment.script();
		script.print(this.report.table());
		for (double percentile : new double[] { 50, 95, 99 }) {
			double off = this.report.firstTokenMillis(OFF, percentile);
			double on = this.report.firstTokenMillis(ON, percentile);
			script.print(String.format("first token p%.0f: %.2f ms batch off, %.2f ms batch on, x %.3f", percentile,
					off, on, on / off));
		}
		DemoPlan plan = this.fleet.plan();
		double full = PlannedStandIns.fullTokensPerSecond(plan);
		double tokens = this.tokensOn / Math.max(1e-9, this.secondsOn);
		script.print(String.format(
				"policy %s: %.0f tokens/s on all engines with batch on in %d windows of %.0f s;"
						+ " engines with every slot taken: %.0f tokens/s; share %.3f",
				plan.policy(), tokens, this.windows, this.windowSeconds, full, tokens / full));
		long calls = this.fleet.storeCounts().getLong("total", 0L) - storeBefore.getLong("total", 0L);
		script.print("calls of the object API in the whole run: " + calls);
	}

}
