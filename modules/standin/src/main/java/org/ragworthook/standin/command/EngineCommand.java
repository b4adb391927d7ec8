package org.ragworthook.standin.command;

import java.time.Duration;
import java.util.List;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.standin.engine.EngineSettings;
import org.ragworthook.standin.engine.ModelEngine;

/**
 * Runs model engines on consecutive ports.
 */
public final class EngineCommand implements Subcommand {

	private static final double NANOS_PER_MILLI = 1e6;

	@Option(name = "--port", usage = "port of the first engine", metaVar = "N")
	private int port = 9100;

	@Option(name = "--count", usage = "how many engines", metaVar = "N")
	private int count = 1;

	@Option(name = "--models", usage = "models loaded at the start, comma-separated", metaVar = "NAMES")
	private String models = "assistant";

	@Option(name = "--slots", usage = "requests that an engine runs at once", metaVar = "N")
	private int slots = 16;

	@Option(name = "--token-ms", usage = "milliseconds for a token with one request running", metaVar = "MS")
	private double tokenMillis = 8;

	@Option(name = "--growth-ms", usage = "further milliseconds for each further request", metaVar = "MS")
	private double growthMillis = 0.5;

	@Option(name = "--prefill-us", usage = "microseconds for a prompt token that is not cached", metaVar = "US")
	private double prefillMicros = 50;

	@Option(name = "--cache-blocks", usage = "blocks that the prefix cache holds", metaVar = "N")
	private int cacheBlocks = 4_096;

	@Option(name = "--restart-ms", usage = "milliseconds from a crash until the engine listens", metaVar = "MS")
	private long restartMillis = 2_000;

	@Option(name = "--ignore-fencing", usage = "take orders whatever their fencing token")
	private boolean ignoreFencing;

	@Option(name = "--exit-on-crash", usage = "end the process on a crash")
	private boolean exitOnCrash;

	@Option(name = "--weights-port", usage = "port of the weight store, 0 for none", metaVar = "N")
	private int weightsPort;

	@Override
	public int run() {
		EngineSettings settings = EngineSettings.builder()
			.models(List.of(this.models.split(",")))
			.slots(this.slots)
			.tokenTime(millis(this.tokenMillis), millis(this.growthMillis))
			.prefillTime(millis(this.prefillMicros / 1_000))
			.cacheBlocks(this.cacheBlocks)
			.restartTime(Duration.ofMillis(this.restartMillis))
			.fencingChecked(!this.ignoreFencing)
			.exitOnCrash(this.exitOnCrash)
			.weightsPort(this.weightsPort)
			.build();
		Servers servers = Servers.on(Vertx.vertx());
		for (int i = 0; i < this.count; i++) {
			servers.add("engine-" + i, new ModelEngine((this.port == 0) ? 0 : this.port + i, settings));
		}
		servers.announce();
		return STAYS_UP;
	}

	private static Duration millis(double value) {
		return Duration.ofNanos((long) (value * NANOS_PER_MILLI));
	}

}
