package org.ragworthook.gateway.peer;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.wire.load.ChangedJob;
import org.ragworthook.wire.load.LoadReport;

/**
 * Tells the processes that run jobs of a job that this process has accepted or ended.
 * They look for jobs seldom, and the one that is to run it looks at once when it is told.
 * Nothing rests on the news: a job of which it is lost is seen with the next look. Used
 * on the event loop.
 */
public final class ChangedJobs implements ReportPart {

	/**
	 * For how long a job is told of: three reports at least, since one may be lost.
	 */
	static final Duration TOLD = Duration.ofMillis(300);

	/** Jobs in one report at most; of more, the next look for jobs tells. */
	private static final int MOST = 50;

	/** Jobs that are remembered as heard of: those of many seconds. */
	private static final int REMEMBERED = 1_000;

	private final Ticker ticker;

	private final Runnable flush;

	/** When each change was made here, the ticker's reading. */
	private final Map<ChangedJob, Long> changed = new LinkedHashMap<>();

	private final Set<ChangedJob> heard = new LinkedHashSet<>();

	private Consumer<String> listener = (jobId) -> {
	};

	ChangedJobs(Ticker ticker, Runnable flush) {
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
		this.flush = Objects.requireNonNull(flush, "flush is null");
	}

	/**
	 * Adds changed jobs to the reports of a process.
	 * @param loads its reports
	 * @param ticker the time
	 * @return what is told of changed jobs
	 */
	public static ChangedJobs on(LoadExchange loads, Ticker ticker) {
		ChangedJobs jobs = new ChangedJobs(ticker, loads::flush);
		loads.add(jobs);
		return jobs;
	}

	/**
	 * Sets what learns of jobs that other processes have changed, once for each change.
	 * @param reader takes the job's id, on the event loop
	 */
	public void onChange(Consumer<String> reader) {
		this.listener = Objects.requireNonNull(reader, "reader is null");
	}

	/**
	 * Tells of a job that this process has accepted or ended.
	 * @param jobId the job
	 * @param ended whether it was ended
	 */
	public void changed(String jobId, boolean ended) {
		this.changed.put(ChangedJob.newBuilder().setJob(jobId).setEnded(ended).build(), this.ticker.nanos());
		this.flush.run();
	}

	@Override
	public boolean hasChanges() {
		long old = this.ticker.nanos() - TOLD.toNanos();
		this.changed.values().removeIf((since) -> since - old < 0);
		return !this.changed.isEmpty();
	}

	@Override
	public void write(LoadReport.Builder report) {
		if (hasChanges()) {
			this.changed.keySet().stream().limit(MOST).forEach(report::addChangedJobs);
		}
	}

	@Override
	public void read(LoadReport report) {
		for (ChangedJob job : report.getChangedJobsList()) {
			if (this.heard.add(job)) {
				this.listener.accept(job.getJob());
			}
		}
		var oldest = this.heard.iterator();
		while (this.heard.size() > REMEMBERED) {
			oldest.next();
			oldest.remove();
		}
	}

}
