package org.ragworthook.standin.command;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.standin.load.Arrivals;
import org.ragworthook.standin.load.CallRecord;
import org.ragworthook.standin.load.OnlineLoad;
import org.ragworthook.standin.load.OnlineReport;
import org.ragworthook.standin.load.PromptMix;
import org.ragworthook.standin.load.Target;

/**
 * Sends online load and checks every answer.
 */
public final class LoadCommand implements Subcommand {

	@Option(name = "--targets", usage = "addresses of entries or engines, comma-separated", metaVar = "HOST:PORT,...",
			required = true)
	private String targets;

	@Option(name = "--key", usage = "account key, empty for engines", metaVar = "KEY")
	private String key = "";

	@Option(name = "--model", usage = "the model to ask", metaVar = "NAME")
	private String model = "assistant";

	@Option(name = "--rate", usage = "mean arrivals a second", metaVar = "N")
	private double rate = 20;

	@Option(name = "--seconds", usage = "how long to send", metaVar = "N")
	private int seconds = 10;

	@Option(name = "--tokens", usage = "the longest answer", metaVar = "N")
	private int tokens = 48;

	@Option(name = "--seed", usage = "makes the run repeatable", metaVar = "N")
	private long seed = 1;

	@Option(name = "--json", usage = "print the report as JSON as well")
	private boolean json;

	@Override
	public int run() {
		Vertx vertx = Vertx.vertx();
		List<Target> all = Arrays.stream(this.targets.split(","))
			.map((address) -> new Target(Address.parse(address), this.key))
			.toList();
		OnlineReport report = OnlineReport.empty();
		PromptMix prompts = PromptMix.of(this.model, 8, Math.min(8, this.tokens), this.tokens, this.seed);
		OnlineLoad load = new OnlineLoad(vertx, prompts, Arrivals.of(this.rate, this.seed),
				(number) -> OnlineLoad.Route.rotating("online", all, number), report)
			.start();
		pause(this.seconds);
		load.stop().join();
		System.out.print(report.table());
		if (this.json) {
			System.out.println(report.document().encode());
		}
		report.notWhole().stream().limit(5).forEach((call) -> System.out.println(call.end() + " " + call.detail()));
		vertx.close();
		return (report.count(CallRecord.End.WHOLE) == report.total()) ? 0 : 1;
	}

	private static void pause(long seconds) {
		try {
			new CountDownLatch(1).await(seconds, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
