package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.wire.load.ChangedJob;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports about jobs that this process has accepted or ended.
 * <p>
 * Processes that run jobs poll the store for jobs at long intervals. The owner of a job
 * that a report names reads the store at once. Correctness does not depend on these
 * reports: if all of them are lost, the owner finds the change at its next poll. Used on
 * the event loop.
 */
public final class JobChangeReports implements ReportSection {

	/**
	 * How long a change is repeated in reports: in three of them at least, since single
	 * reports may be lost.
	 */
	static final Duration REPEAT_PERIOD = Duration.ofMillis(300);

	/** Changes in one report at most; owners find the others at their next poll. */
	private static final int MAX_CHANGES_PER_REPORT = 50;

	/**
	 * Received changes that are remembered, to ignore repetitions: many seconds' worth.
	 */
	private static final int MAX_REMEMBERED = 1_000;

	private final Ticker ticker;

	private final Runnable flush;

	/** The ticker's reading at each change that this process made. */
	private final Map<ChangedJob, Long> changedNanos = new LinkedHashMap<>();

	/** The received changes, oldest first. */
	private final Set<ChangedJob> received = new LinkedHashSet<>();

	private Listener listener = (jobId, ended) -> {
	};

	JobChangeReports(Ticker ticker, Runnable flush) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.flush = Objects.requireNonNull(flush, "flush is null");
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param ticker the monotonic clock
	 * @return the section
	 */
	public static JobChangeReports attach(LoadExchange exchange, Ticker ticker) {
		JobChangeReports jobs = new JobChangeReports(ticker, exchange::flush);
		exchange.add(jobs);
		return jobs;
	}

	/**
	 * Sets the listener for jobs that other processes have changed. It is called once for
	 * each change.
	 * @param reader called on the event loop
	 */
	public void onChange(Listener reader) {
		this.listener = Objects.requireNonNull(reader, "reader is null");
	}

	/**
	 * Reports to the peers a job that this process has accepted or ended.
	 * @param jobId the job's id
	 * @param ended whether the job was ended rather than accepted
	 */
	public void changed(String jobId, boolean ended) {
		this.changedNanos.put(ChangedJob.newBuilder().setJob(jobId).setEnded(ended).build(), this.ticker.nanos());
		this.flush.run();
	}

	@Override
	public boolean hasChanges() {
		long old = this.ticker.nanos() - REPEAT_PERIOD.toNanos();
		this.changedNanos.values().removeIf((since) -> since - old < 0);
		return !this.changedNanos.isEmpty();
	}

	@Override
	public void write(LoadReport.Builder report) {
		if (hasChanges()) {
			this.changedNanos.keySet().stream().limit(MAX_CHANGES_PER_REPORT).forEach(report::addChangedJobs);
		}
	}

	@Override
	public void read(LoadReport report) {
		for (ChangedJob job : report.getChangedJobsList()) {
			if (this.received.add(job)) {
				this.listener.changed(job.getJob(), job.getEnded());
			}
		}
		var oldest = this.received.iterator();
		while (this.received.size() > MAX_REMEMBERED) {
			oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Receives the jobs that other processes have changed.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called when the store has a change of a job.
		 * @param jobId the job's id
		 * @param ended whether the job was ended rather than accepted
		 */
		void changed(String jobId, boolean ended);

	}

}
