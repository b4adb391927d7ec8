package org.ragworthook.gateway.process;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.feed.Change;
import org.ragworthook.gateway.feed.FeedListener;
import org.ragworthook.gateway.job.JobRunner;
import org.ragworthook.gateway.peer.LoadExchange;

/**
 * Drains this instance when the operator retires it: stops running jobs, hands them over
 * to other processes and reports to the platform that the instance can be removed. The
 * process holds no state that the store does not have.
 */
final class RetirementListener implements FeedListener<Boolean> {

	private static final EventLog LOG = EventLog.of(RetirementListener.class);

	/** How often to check whether the last results are published. */
	private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

	/**
	 * The delay before the next attempt after the platform has not accepted the report.
	 */
	private static final Duration REPORT_RETRY_DELAY = Duration.ofMillis(300);

	private final String instance;

	private final LoadExchange exchange;

	private final JobRunner runner;

	private final Function<String, CompletableFuture<Void>> report;

	private final Timers timers;

	private final Executor loop;

	private boolean started;

	RetirementListener(String instance, LoadExchange exchange, JobRunner runner,
			Function<String, CompletableFuture<Void>> report, Timers timers, Executor loop) {
		this.instance = Objects.requireNonNull(instance, "instance is null");
		this.exchange = Objects.requireNonNull(exchange, "exchange is null");
		this.runner = Objects.requireNonNull(runner, "runner is null");
		this.report = Objects.requireNonNull(report, "report is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.loop = Objects.requireNonNull(loop, "loop is null");
	}

	@Override
	public void listed(List<Change<Boolean>> all) {
		all.forEach(this::changed);
	}

	@Override
	public void changed(Change<Boolean> change) {
		if (this.started || !change.name().equals(this.instance) || change.value().isEmpty()) {
			return;
		}
		this.started = true;
		LOG.info("retiring", "instance", this.instance);
		this.runner.stop().whenCompleteAsync((saved, failure) -> {
			this.exchange.leave();
			report();
		}, this.loop);
	}

	private void report() {
		if (this.runner.hasUnpublishedResults()) {
			this.timers.schedule(POLL_INTERVAL, this::report);
			return;
		}
		this.report.apply(this.instance).whenCompleteAsync((done, failure) -> {
			if (failure == null) {
				LOG.info("retired", "instance", this.instance);
			}
			else {
				LOG.warning("retirement_not_reported", "error", Failures.root(failure));
				this.timers.schedule(REPORT_RETRY_DELAY, this::report);
			}
		}, this.loop);
	}

}
