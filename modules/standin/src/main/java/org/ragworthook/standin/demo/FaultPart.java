package org.ragworthook.standin.demo;

import java.util.List;
import java.util.Objects;

import io.vertx.core.json.JsonObject;
import org.ragworthook.core.contract.ServiceType;

/**
 * The faults of the demonstration, one after the other, and what they showed.
 */
final class FaultPart {

	private static final double LEAVING_SECONDS = 2;

	private static final double OUTAGE_SECONDS = 4;

	private final Fleet fleet;

	private final Script script;

	private final BookingPart bookings;

	private final BatchPart batch;

	private final ConfigPart config;

	private final PoisonPart poison;

	private long startsWhenLeaving = -1;

	private long startsAfterwards = -1;

	FaultPart(Fleet fleet, Script script, BookingPart bookings, BatchPart batch, ConfigPart config) {
		this.fleet = Objects.requireNonNull(fleet, "fleet is null");
		this.script = Objects.requireNonNull(script, "script is null");
		this.bookings = Objects.requireNonNull(bookings, "bookings is null");
		this.batch = Objects.requireNonNull(batch, "batch is null");
		this.config = Objects.requireNonNull(config, "config is null");
		this.poison = new PoisonPart(fleet);
	}

	/**
	 * Brings the faults about.
	 * @param seconds how long to take at least
	 */
	void run(double seconds) {
		long start = System.nanoTime();
		List<PlannedProcess> models = this.fleet.plan().sidecars(ServiceType.MODEL);
		PlannedProcess entry = this.fleet.plan().entries().get(1);
		killAndRestart(models.get(0));
		this.config.observe();
		this.script.say("the next 6 answers of the object API to writes are lost after the effect");
		this.fleet.fault(new JsonObject().put("loseNext", 6));
		this.batch.submit("evening-3", 200, true);
		this.bookings.loseAnswers(2);
		killAndRestart(entry);
		this.script.say("a request that crashes engines, and its resends");
		this.poison.run();
		outage();
		this.batch.submitAndCancel("cancelled", 3_000);
		leave(models.get(1));
		restartGracefully(this.fleet.plan().entries().get(2));
		this.config.observe();
		Script.pause(seconds - (System.nanoTime() - start) / 1e9);
	}

	private void killAndRestart(PlannedProcess process) {
		this.script.kill(process.name());
		Script.pause(2);
		this.script.start(process.name());
		awaitUp(process);
	}

	private void awaitUp(PlannedProcess process) {
		if (!Fleet.await(() -> this.fleet.up(process), 60)) {
			this.script.say(process.name() + " did not come up again");
		}
	}

	private void outage() {
		this.script.say("the object API is out for " + (int) OUTAGE_SECONDS + " s");
		this.fleet.fault(new JsonObject().put("outage", true));
		Script.pause(OUTAGE_SECONDS);
		this.fleet.fault(new JsonObject().put("outage", false));
		this.script.say("the object API is back");
	}

	private void leave(PlannedProcess sidecar) {
		this.fleet.register(sidecar, "leaving");
		this.script.stop(sidecar.name());
		Script.pause(LEAVING_SECONDS);
		this.startsWhenLeaving = admitted(sidecar);
		Script.pause(LEAVING_SECONDS);
		this.startsAfterwards = admitted(sidecar);
		Fleet.await(() -> !this.fleet.up(sidecar), 30);
		this.script.start(sidecar.name());
		awaitUp(sidecar);
		this.fleet.register(sidecar, "live");
	}

	private long admitted(PlannedProcess sidecar) {
		return this.fleet.engine(sidecar, "/control/counts").getLong("admitted", -1L);
	}

	private void restartGracefully(PlannedProcess entry) {
		this.script.stop(entry.name());
		Fleet.await(() -> !this.fleet.up(entry), 40);
		this.script.start(entry.name());
		awaitUp(entry);
	}

	void judge(PromiseTable table) {
		table.add("an instance that leaves gets no new work after 2 s",
				this.startsWhenLeaving >= 0 && this.startsAfterwards == this.startsWhenLeaving,
				(this.startsAfterwards - this.startsWhenLeaving)
						+ " starts on its engine from 2 s to 4 s after SIGTERM");
		this.poison.judge(table);
	}

}
