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
 * Empties this instance when the operator asks for it. Nothing is kept here that the
 * store does not have, so handing over the jobs is all there is to do.
 */
final class Retirement implements FeedListener<Boolean> {

	private static final EventLog LOG = EventLog.of(Retirement.class);

	/** How often to look whether the last results are listed. */
	private static final Duration LOOK = Duration.ofMillis(50);

	/** The pause after the platform did not take the report. */
	private static final Duration REPORT_AGAIN = Duration.ofMillis(300);

	private final String instance;

	private final LoadExchange loads;

	private final JobRunner runner;

	private final Function<String, CompletableFuture<Void>> report;

	private final Timers timers;

	private final Executor loop;

	private boolean begun;

	Retirement(String instance, LoadExchange loads, JobRunner runner, Function<String, CompletableFuture<Void>> report,
			Timers timers, Executor loop) {
		this.instance = Objects.requireNonNull(instance, "instance is null");
		this.loads = Objects.requireNonNull(loads, "loads is null");
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
		if (this.begun || !change.name().equals(this.instance) || change.value().isEmpty()) {
			return;
		}
		this.begun = true;
		LOG.info("retiring", "instance", this.instance);
		this.runner.stop().whenCompleteAsync((saved, failure) -> {
			this.loads.leave();
			report();
		}, this.loop);
	}

	private void report() {
		if (this.runner.hasUnpublishedResults()) {
			this.timers.schedule(LOOK, this::report);
			return;
		}
		this.report.apply(this.instance).whenCompleteAsync((done, failure) -> {
			if (failure == null) {
				LOG.info("retired", "instance", this.instance);
			}
			else {
				LOG.warning("retirement_not_reported", "error", Failures.root(failure));
				this.timers.schedule(REPORT_AGAIN, this::report);
			}
		}, this.loop);
	}

}
