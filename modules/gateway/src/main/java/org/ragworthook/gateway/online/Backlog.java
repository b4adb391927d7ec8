package org.ragworthook.gateway.online;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.gateway.peer.WaitingTokens;
import org.ragworthook.gateway.route.Route;

/**
 * What all processes have accepted and not finished of batch jobs, for the decision
 * whether another one fits, and what this process tells them of jobs.
 */
public interface Backlog {

	/**
	 * Returns what the other processes have told.
	 * @param route the route of the jobs
	 * @param account whose jobs they are
	 * @return tokens that wait
	 */
	WaitingTokens reported(Route route, Optional<String> account);

	/**
	 * Reads from the store what can wait at most, finished items included. For when the
	 * processes that run jobs cannot be heard.
	 * @param route the route of the jobs
	 * @param account whose jobs they are
	 * @return tokens; fails if the store does not answer
	 */
	CompletableFuture<Long> readUpperBound(Route route, Optional<String> account);

	/**
	 * Sets what shows the others the jobs that this process has accepted a moment ago.
	 * @param accepted gives tokens by the key of route and account
	 */
	void recentlyAccepted(Supplier<Map<Integer, Long>> accepted);

	/**
	 * Shows them now.
	 */
	void sendReport();

	/**
	 * Tells the process that runs a job that the store has it anew, or as ended.
	 * @param jobId the job
	 * @param ended whether it was ended
	 */
	void jobChanged(String jobId, boolean ended);

}
