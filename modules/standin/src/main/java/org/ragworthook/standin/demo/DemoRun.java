package org.ragworthook.standin.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.ragworthook.standin.load.Arrivals;
import org.ragworthook.standin.load.Balancer;
import org.ragworthook.standin.load.CallRecord;
import org.ragworthook.standin.load.OnlineLoad;
import org.ragworthook.standin.load.OnlineReport;
import org.ragworthook.standin.load.PromptMix;

/**
 * Drives a demonstration from the first text to the table of promises.
 */
public final class DemoRun {

	private static final String ALONE = "online alone";

	private static final String WITH_BATCH = "online with batch";

	private static final String FAULTS = "online, batch, faults";

	private static final int UP_SECONDS = 90;

	private static final double ALONE_SHARE = 0.2;

	private static final double BATCH_SHARE = 0.3;

	private final Fleet fleet;

	private final Script script;

	private final DemoOptions options;

	private final PromiseTable table = new PromiseTable();

	private final OnlineReport report = OnlineReport.empty();

	private final Vertx vertx = Vertx.vertx();

	private final Balancer balancer;

	private volatile String label = ALONE;

	/**
	 * Creates a run.
	 * @param plan the processes, which the script has started
	 * @param options how long and how much
	 */
	public DemoRun(DemoPlan plan, DemoOptions options) {
		this.fleet = new Fleet(plan);
		this.options = Objects.requireNonNull(options, "options is null");
		this.script = new Script(System.out);
		this.balancer = Balancer.of(this.vertx, this.fleet.entries(plan.deployment().onlineKey()));
	}

	/**
	 * Runs.
	 * @return the exit code: 0 only if every promise held
	 */
	public int run() {
		ConfigPart config = new ConfigPart(this.fleet, this.script);
		if (!bringUp(config)) {
			return 1;
		}
		if (this.options.hold()) {
			announce();
		}
		int code = (this.options.seconds() > 0) ? drive(config) : 0;
		if (this.options.hold()) {
			this.script.hold();
		}
		this.vertx.close();
		return code;
	}

	// -- start

	private boolean bringUp(ConfigPart config) {
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
			OnlineLoad once = load(first, 50, 7).start();
			Script.pause(0.2);
			once.stop().join();
			return first.count(CallRecord.End.WHOLE) > 0;
		}, UP_SECONDS);
		this.script.say(answered ? "first streamed answers are whole" : "no answer comes through");
		return answered;
	}

	private void announce() {
		Deployment deployment = this.fleet.plan().deployment();
		this.fleet.plan().entries().forEach((entry) -> this.script.print("entry=http://" + entry.http()));
		this.script.print("key=" + deployment.onlineKey());
		this.script.print("batch-key=" + deployment.batchKey());
		this.script.print("operator-key=" + deployment.operatorKey());
		this.script.print("try: bin/ragworthook status --entry http://" + this.fleet.plan().entries().get(0).http()
				+ " --key " + deployment.operatorKey());
		this.script.print("try: curl -N http://" + this.fleet.plan().entries().get(0).http()
				+ "/v1/chat/completions -H 'Authorization: Bearer " + deployment.onlineKey() + "' -d '{\"model\":\""
				+ deployment.model() + "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'");
	}

	// -- load and faults

	private OnlineLoad load(OnlineReport into, double rate, long seed) {
		PromptMix prompts = PromptMix.of(this.fleet.plan().deployment().model(), 8, 8, 40, seed);
		return new OnlineLoad(this.vertx, prompts, Arrivals.of(rate, seed),
				(number) -> new OnlineLoad.Route(this.label, this.balancer.targets(number)), into);
	}

	private int drive(ConfigPart config) {
		BookingPart bookings = new BookingPart(this.fleet, this.balancer);
		BatchPart batch = new BatchPart(this.fleet, this.script);
		FaultPart faults = new FaultPart(this.fleet, this.script, bookings, batch, config);
		this.script.say("online load of " + this.options.rate() + "/s and calls that must not run twice");
		OnlineLoad online = load(this.report, this.options.rate(), this.options.seed()).start();
		bookings.start();
		Script.pause(this.options.seconds() * ALONE_SHARE);
		this.label = WITH_BATCH;
		List<String> tags = new ArrayList<>(List.of("evening-1", "evening-2"));
		tags.forEach((tag) -> batch.submit(tag, this.options.items(), false));
		config.change();
		Script.pause(this.options.seconds() * BATCH_SHARE);
		this.label = FAULTS;
		faults.run(this.options.seconds() * (1 - ALONE_SHARE - BATCH_SHARE));
		this.script.say("ending the load, reading every result back");
		online.stop().join();
		bookings.stop();
		batch.readBack(this.options.waitSeconds());
		config.observe();
		judge(bookings, batch, faults, config);
		return this.table.allHeld() ? 0 : 1;
	}

	// -- judgement

	private void judge(BookingPart bookings, BatchPart batch, FaultPart faults, ConfigPart config) {
		batch.judge(this.table);
		judgeTail();
		judgeWhole();
		bookings.judge(this.table);
		faults.judge(this.table);
		config.judge(this.table);
		JsonObject store = this.fleet.storeCounts();
		this.script.print("");
		this.script.print(this.report.table());
		this.script.print("object API: " + store.encode());
		this.report.notWhole()
			.stream()
			.limit(5)
			.forEach((call) -> this.script.print("not whole: " + call.tag() + " " + call.end() + " " + call.detail()));
		this.script.print("");
		this.script.print(this.table.text());
	}

	private void judgeTail() {
		double alone = this.report.firstTokenMillis(ALONE, 99);
		double with = this.report.firstTokenMillis(WITH_BATCH, 99);
		this.table.add("online never waits behind batch", with > 0 && with <= 2 * alone + 20, String
			.format("first token p99 %.1f ms alone, %.1f ms with batch (bound 2 x alone + 20 ms)", alone, with));
	}

	private void judgeWhole() {
		long wrong = this.report.count(CallRecord.End.WRONG);
		long broken = this.report.count(CallRecord.End.BROKEN);
		long refused = this.report.count(CallRecord.End.REFUSED);
		this.table.add("each caller gets the whole answer to its own request",
				wrong == 0 && broken == 0 && refused == 0, this.report.total() + " answers: " + wrong + " wrong, "
						+ broken + " lost, " + refused + " refused; " + this.report.resends() + " sent again");
		long untrue = this.report.notWhole()
			.stream()
			.filter((call) -> call.toldNotRun() && call.cutOffs() == 0)
			.filter((call) -> this.fleet.starts(call.tag()) > 0)
			.count();
		this.table.add("an online refusal that says 'not run' is true", untrue == 0,
				this.report.notWhole().stream().filter(CallRecord::toldNotRun).count() + " told not run, " + untrue
						+ " of them had run");
	}

}
