package org.ragworthook.standin.command;

import io.vertx.core.Vertx;
import org.ragworthook.standin.demo.PlanOptions;
import org.ragworthook.standin.demo.PlannedStandIns;

/**
 * Runs all stand-ins of a demonstration in one process.
 */
public final class DemoStandInsCommand extends PlanOptions implements Subcommand {

	@Override
	public int run() {
		Servers servers = Servers.on(Vertx.vertx());
		PlannedStandIns.of(plan()).forEach(servers::add);
		servers.announce();
		return STAYS_UP;
	}

}
