package org.ragworthook.gateway.demand;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;

/**
 * Decides whether this process leaves its batch jobs to other processes.
 * <p>
 * Answers a process that cannot keep up for longer than a peak of demand lasts: it starts
 * no items, and the results of those that it has are late. Only the process itself
 * decides, and reports the decision, so that all processes that have the same reports
 * agree on the owners. Used on the event loop.
 */
public final class JobShedding {

	private static final EventLog LOG = EventLog.of(JobShedding.class);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/** How long a process has to be behind until it leaves its jobs to others. */
	private static final Duration SHED_AFTER = Duration.ofMillis(2_000);

	/**
	 * How long a process must not have been behind until it takes its jobs back. Each
	 * move of a job stops its runs, so jobs must not move at each peak of demand.
	 */
	private static final Duration RETURN_AFTER = Duration.ofMillis(5_000);

	private final BooleanSupplier behind;

	private final Runnable onChange;

	private final Ticker ticker;

	private final Timers timers;

	/** Since when the condition for a change has held. */
	private long sinceNanos;

	private boolean shedding;

	private JobShedding(BooleanSupplier behind, Runnable onChange, Ticker ticker, Timers timers) {
		this.behind = Objects.requireNonNull(behind, "behind is null");
		this.onChange = Objects.requireNonNull(onChange, "onChange is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.sinceNanos = ticker.nanos();
	}

	/**
	 * Starts to decide.
	 * @param behind returns whether this process is behind
	 * @param onChange called when the decision has changed, to send it to the peers
	 * @param ticker the monotonic clock
	 * @param timers schedules the checks, on the event loop
	 * @return the decision, at first that jobs are kept
	 */
	public static JobShedding start(BooleanSupplier behind, Runnable onChange, Ticker ticker, Timers timers) {
		JobShedding started = new JobShedding(behind, onChange, ticker, timers);
		timers.schedule(CHECK_INTERVAL, started::check);
		return started;
	}

	private void check() {
		long now = this.ticker.nanos();
		if (this.behind.getAsBoolean() == this.shedding) {
			this.sinceNanos = now;
		}
		else if (now - this.sinceNanos >= (this.shedding ? RETURN_AFTER : SHED_AFTER).toNanos()) {
			this.shedding = !this.shedding;
			this.sinceNanos = now;
			LOG.info(this.shedding ? "jobs_shed" : "jobs_taken_back");
			this.onChange.run();
		}
		this.timers.schedule(CHECK_INTERVAL, this::check);
	}

	/**
	 * Returns whether this process leaves its jobs to others.
	 * @return whether it does, unless all processes that run jobs do
	 */
	public boolean shedsJobs() {
		return this.shedding;
	}

}
