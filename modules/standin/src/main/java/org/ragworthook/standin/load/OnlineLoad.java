package org.ragworthook.standin.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import io.vertx.core.Vertx;

/**
 * Sends chat calls in an open loop: calls arrive when they arrive, however slow the
 * answers are, so that a slow system is not spared the load that it cannot bear.
 */
public final class OnlineLoad {

	private static final long TICK_MILLIS = 1;

	private final Vertx vertx;

	private final ChatCaller caller;

	private final PromptMix prompts;

	private final Arrivals arrivals;

	private final IntFunction<Route> routes;

	private final OnlineReport report;

	private final AtomicInteger open = new AtomicInteger();

	private final CompletableFuture<OnlineReport> ended = new CompletableFuture<>();

	private int number;

	private volatile boolean stopping;

	/**
	 * Creates a load that does not run yet.
	 * @param vertx runs it
	 * @param prompts makes the calls
	 * @param arrivals when they arrive
	 * @param routes where the call of a number goes, and its label
	 * @param report takes how the calls end
	 */
	public OnlineLoad(Vertx vertx, PromptMix prompts, Arrivals arrivals, IntFunction<Route> routes,
			OnlineReport report) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.caller = ChatCaller.of(vertx);
		this.prompts = Objects.requireNonNull(prompts, "prompts is null");
		this.arrivals = Objects.requireNonNull(arrivals, "arrivals is null");
		this.routes = Objects.requireNonNull(routes, "routes is null");
		this.report = Objects.requireNonNull(report, "report is null");
	}

	/**
	 * Starts to send.
	 * @return this load
	 */
	public OnlineLoad start() {
		this.vertx.runOnContext((nothing) -> tick(System.nanoTime()));
		return this;
	}

	private void tick(long due) {
		long next = due;
		while (next <= System.nanoTime() && !this.stopping) {
			send();
			next += this.arrivals.nextGapNanos();
		}
		if (this.stopping) {
			endIfDone();
			return;
		}
		long following = next;
		this.vertx.setTimer(TICK_MILLIS, (id) -> tick(following));
	}

	private void send() {
		Route route = this.routes.apply(this.number++);
		this.open.incrementAndGet();
		this.caller.call(route.targets(), this.prompts.next()).onComplete((call) -> {
			this.report.add(route.label(), call.result());
			this.open.decrementAndGet();
			endIfDone();
		});
	}

	private void endIfDone() {
		if (this.stopping && this.open.get() == 0) {
			this.ended.complete(this.report);
		}
	}

	/**
	 * Stops to send and waits for the answers that are under way.
	 * @return completes when the last call has ended
	 */
	public CompletableFuture<OnlineReport> stop() {
		this.stopping = true;
		return this.ended;
	}

	/**
	 * Where a call goes.
	 *
	 * @param label the series that it belongs to
	 * @param targets the targets, the first one first, the others if its connection
	 * breaks
	 */
	public record Route(String label, List<Target> targets) {

		/**
		 * Returns a route that starts with another target for each number.
		 * @param label the series that it belongs to
		 * @param all all targets
		 * @param number the number of the call
		 * @return the route
		 */
		public static Route rotating(String label, List<Target> all, int number) {
			List<Target> rotated = new ArrayList<>(all);
			Collections.rotate(rotated, -(number % all.size()));
			return new Route(label, rotated);
		}

	}

}
