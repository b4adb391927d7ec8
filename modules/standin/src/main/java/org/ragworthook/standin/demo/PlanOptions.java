package org.ragworthook.standin.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Option;

/**
 * The options by which every part of a demonstration finds the same plan.
 */
public abstract class PlanOptions {

	@Option(name = "--deployment", usage = "peachtree or fiestas", metaVar = "NAME")
	private String deployment = "peachtree";

	@Option(name = "--examples", usage = "folder of the example texts", metaVar = "FOLDER")
	private Path examples = Path.of("examples");

	@Option(name = "--base-port", usage = "first port of the demonstration, 0 for any", metaVar = "N")
	private int basePort;

	@Option(name = "--policy", usage = "how sidecars admit: priority or arrival-order", metaVar = "NAME")
	private String policy = "priority";

	@Option(name = "--slots", usage = "requests that an engine runs at once", metaVar = "N")
	private int slots = 16;

	/**
	 * Returns the plan.
	 * @return the plan of the options
	 */
	protected DemoPlan plan() {
		int base = (this.basePort != 0) ? this.basePort : DemoPlan.freeBase();
		return DemoPlan.of(Deployment.read(this.examples, this.deployment), base, this.policy, this.slots);
	}

	/**
	 * Writes the settings of every process, the text, and the list of processes.
	 * @param folder where to write
	 * @return the plan
	 */
	protected DemoPlan write(Path folder) {
		DemoPlan plan = plan();
		StringBuilder names = new StringBuilder();
		try {
			Path settings = Files.createDirectories(folder.resolve("settings"));
			for (PlannedProcess process : plan.processes()) {
				JsonObject content = process.settings(plan, plan.deployment().operatorKeyHash());
				Files.writeString(settings.resolve(process.name() + ".json"), content.encodePrettily());
				names.append(process.name()).append('\n');
			}
			Files.writeString(folder.resolve("processes"), names);
			Files.writeString(folder.resolve("base-port"), plan.base() + "\n");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return plan;
	}

}
