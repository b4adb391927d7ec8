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
 * What is known of the items that wait, from reports and, where they are not enough, from
 * the store.
 */
final class JobBacklog implements Backlog {

	private final LoadExchange loads;

	private final JobChangeReports changes;

	private final Supplier<Feed<Job>> jobs;

	JobBacklog(LoadExchange loads, JobChangeReports changes, Supplier<Feed<Job>> jobs) {
		this.loads = Objects.requireNonNull(loads, "loads is null");
		this.changes = Objects.requireNonNull(changes, "changes is null");
		this.jobs = Objects.requireNonNull(jobs, "jobs is null");
	}

	@Override
	public WaitingTokens reported(Route route, Optional<String> account) {
		return this.loads.waitingTokens(route.backlogKey(account));
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
		this.loads.acceptedBacklog(accepted);
	}

	@Override
	public void sendReport() {
		this.loads.flush();
	}

	@Override
	public void jobChanged(String jobId, boolean ended) {
		this.changes.changed(jobId, ended);
	}

}
