package org.ragworthook.gateway.process;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.online.Backlog;
import org.ragworthook.gateway.peer.JobChangeReports;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.WaitingTokens;
import org.ragworthook.gateway.route.Route;

/**
 * The backlog of batch jobs over all processes, from their reports and, where those are
 * incomplete, from the store.
 */
final class JobBacklog implements Backlog {

	private final LoadExchange exchange;

	private final JobChangeReports jobChanges;

	private final Supplier<Feed<Job>> jobs;

	JobBacklog(LoadExchange exchange, JobChangeReports jobChanges, Supplier<Feed<Job>> jobs) {
		this.exchange = Objects.requireNonNull(exchange, "exchange is null");
		this.jobChanges = Objects.requireNonNull(jobChanges, "jobChanges is null");
		this.jobs = Objects.requireNonNull(jobs, "jobs is null");
	}

	@Override
	public WaitingTokens reported(Route route, Optional<String> account) {
		return this.exchange.waitingTokens(route.backlogKey(account));
	}

	@Override
	public CompletableFuture<Long> readUpperBound(Route route, Optional<String> account) {
		return this.jobs.get()
			.list()
			.thenApply((all) -> all.changes()
				.stream()
				.flatMap((change) -> change.value().stream())
				.filter((job) -> !job.ended() && job.account().equals(account) && route.matches(job.host(), job.path()))
				.mapToLong(Job::tokens)
				.sum());
	}

	@Override
	public void recentlyAccepted(Supplier<Map<Integer, Long>> accepted) {
		this.exchange.acceptedBacklog(accepted);
	}

	@Override
	public void sendReport() {
		this.exchange.flush();
	}

	@Override
	public void jobChanged(String jobId, boolean ended) {
		this.jobChanges.changed(jobId, ended);
	}

}
