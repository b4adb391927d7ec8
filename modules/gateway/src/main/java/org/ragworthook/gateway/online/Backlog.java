package org.ragworthook.gateway.online;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.ragworthook.gateway.peer.WaitingTokens;
import org.ragworthook.gateway.route.Route;

/**
 * The tokens of batch jobs that all processes have accepted and not finished, by which an
 * entry decides whether it accepts another job, and the reports of this process about the
 * jobs that it accepts.
 */
public interface Backlog {

	/**
	 * Returns the waiting tokens that the other processes report.
	 * @param route the route of the jobs
	 * @param account the account that the jobs belong to, or empty for none
	 * @return the tokens, and whether the reports of all processes that run jobs are
	 * included
	 */
	WaitingTokens reported(Route route, Optional<String> account);

	/**
	 * Reads an upper bound of the waiting tokens from the store; it includes items that
	 * are finished. Used while reports of processes that run jobs are missing.
	 * @param route the route of the jobs
	 * @param account the account that the jobs belong to, or empty for none
	 * @return the tokens; fails if the store does not answer
	 */
	CompletableFuture<Long> readUpperBound(Route route, Optional<String> account);

	/**
	 * Sets the source of the recently accepted jobs that this process reports to its
	 * peers.
	 * @param accepted returns tokens by {@linkplain Route#backlogKey backlog key}
	 */
	void recentlyAccepted(Supplier<Map<Integer, Long>> accepted);

	/**
	 * Sends a report to the peers at once.
	 */
	void sendReport();

	/**
	 * Notifies the process that runs a job that the job was created in the store or
	 * ended.
	 * @param jobId the job's id
	 * @param ended whether the job was ended
	 */
	void jobChanged(String jobId, boolean ended);

}
