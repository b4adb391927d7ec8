package org.ragworthook.standin.demo;

import java.util.List;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.ragworthook.standin.load.Arrivals;
import org.ragworthook.standin.load.Balancer;
import org.ragworthook.standin.load.CallRecord;
import org.ragworthook.standin.load.OnlineLoad;
import org.ragworthook.standin.load.OnlineReport;
import org.ragworthook.standin.load.PromptMix;

/**
 * A deployment whose processes a script has started, from its first text on.
 */
final class LiveDeployment implements AutoCloseable {

	private static final int UP_SECONDS = 90;

	private static final int FEWEST_TOKENS = 8;

	private static final int MOST_TOKENS = 40;

	private static final int GROUPS = 8;

	private final Vertx vertx = Vertx.vertx();

	private final Fleet fleet;

	private final Script script = new Script(System.out);

	private final Balancer balancer;

	LiveDeployment(DemoPlan plan) {
		this.fleet = new Fleet(plan);
		this.balancer = Balancer.of(this.vertx, this.fleet.entries(plan.deployment().onlineKey()));
	}

	Vertx vertx() {
		return this.vertx;
	}

	Fleet fleet() {
		return this.fleet;
	}

	Script script() {
		return this.script;
	}

	Balancer balancer() {
		return this.balancer;
	}

	/**
	 * Waits for every process, submits the first text and waits for a whole answer.
	 * @param config submits the text
	 * @return whether the deployment answers
	 */
	boolean bringUp(ConfigPart config) {
		List<PlannedProcess> processes = this.fleet.plan().processes();
		this.script.say("waiting for " + processes.size() + " processes of '"
				+ this.fleet.plan().deployment().contract().name() + "'");
		for (PlannedProcess process : processes) {
			if (!Fleet.await(() -> this.fleet.up(process), UP_SECONDS)) {
				this.script.say(process.name() + " does not come up; see its log");
				return false;
			}
			this.fleet.register(process, "live");
		}
		this.script.say("all are up; submitting the text");
		if (!config.submitFirst()) {
			return false;
		}
		for (PlannedProcess entry : this.fleet.plan().entries()) {
			if (!Fleet.await(() -> this.fleet.ready(entry), UP_SECONDS)) {
				this.script.say(entry.name() + " does not become ready; see its log");
				return false;
			}
		}
		return firstAnswer();
	}

	private boolean firstAnswer() {
		OnlineReport first = OnlineReport.empty();
		boolean answered = Fleet.await(() -> {
			OnlineLoad once = load(first, 50, 7, () -> "first").start();
			Script.pause(0.2);
			once.stop().join();
			return first.count(CallRecord.End.WHOLE) > 0;
		}, UP_SECONDS);
		this.script.say(answered ? "first streamed answers are whole" : "no answer comes through");
		return answered;
	}

	/**
	 * Returns online load on the entries.
	 * @param into takes how the calls end
	 * @param rate calls a second
	 * @param seed makes the load repeatable
	 * @param label the series that a call belongs to when it is sent
	 * @return a load that does not run yet
	 */
	OnlineLoad load(OnlineReport into, double rate, long seed, Supplier<String> label) {
		return new OnlineLoad(this.vertx, prompts(seed), Arrivals.of(rate, seed),
				(number) -> new OnlineLoad.Route(label.get(), this.balancer.targets(number)), into);
	}

	PromptMix prompts(long seed) {
		return PromptMix.of(this.fleet.plan().deployment().model(), GROUPS, FEWEST_TOKENS, MOST_TOKENS, seed);
	}

	@Override
	public void close() {
		this.vertx.close();
	}

}
