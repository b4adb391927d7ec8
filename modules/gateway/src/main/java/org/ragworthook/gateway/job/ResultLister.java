package org.ragworthook.gateway.job;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;

/**
 * Lists the results of jobs in the store. When another process has listed first, or the
 * outcome is unknown, the job is read anew before it goes on. Used on the event loop.
 */
final class ResultLister {

	private static final EventLog LOG = EventLog.of(ResultLister.class);

	private final JobRunner.Dependencies parts;

	private final ListingClaims claims;

	private final Runnable listed;

	/**
	 * Makes what lists results.
	 * @param parts the store, the time and the loop
	 * @param claims learns what is written
	 * @param listed runs when results were listed
	 */
	ResultLister(JobRunner.Dependencies parts, ListingClaims claims, Runnable listed) {
		this.parts = Objects.requireNonNull(parts, "parts is null");
		this.claims = Objects.requireNonNull(claims, "claims is null");
		this.listed = Objects.requireNonNull(listed, "listed is null");
	}

	/**
	 * Lists what is finished, if it is time.
	 * @param job the job
	 */
	void list(OwnedJob job) {
		if (!job.hasFinished() || job.writing()) {
			return;
		}
		Duration waited = Duration.ofNanos(this.parts.ticker().nanos() - job.oldestFinishedNanos());
		Duration untilDue = Duration.ofMillis(job.dueMillis() - this.parts.wallMillis().get());
		if (job.openCount() == 0 || ListingRule.due(waited, untilDue)) {
			flush(job);
		}
	}

	/**
	 * Lists what is finished now.
	 * @param job the job
	 */
	void flush(OwnedJob job) {
		if (job.writing()) {
			return;
		}
		job.writing(true);
		this.claims.writing(job.job().id());
		this.parts.tellListings().run();
		int number = job.segments();
		List<ItemOutcome> outcomes = job.unlisted();
		this.parts.store().append(job.job().id(), number, outcomes).thenAcceptAsync((written) -> {
			job.writing(false);
			LOG.info("results_listed", "job", job.job().id(), "segment", number, "results", outcomes.size(), "written",
					written, "open_items", job.openCount());
			if (written) {
				job.listed(number, outcomes);
				this.claims.written(job.job().id());
				this.parts.tellListings().run();
				this.listed.run();
			}
			else {
				this.claims.forget(job.job().id());
				job.stopRuns();
				job.phase(OwnedJob.Phase.KNOWN);
			}
		}, this.parts.loop()).exceptionally((failure) -> {
			LOG.warning("results_not_listed", "job", job.job().id(), "segment", number, "error",
					Failures.root(failure));
			this.parts.timers().schedule(JobStore.AGAIN, () -> {
				job.writing(false);
				this.claims.forget(job.job().id());
				if (job.phase() == OwnedJob.Phase.READY) {
					job.stopRuns();
					job.phase(OwnedJob.Phase.KNOWN);
				}
			});
			return null;
		});
	}

}
