package org.ragworthook.gateway.job;

import java.util.Optional;

/**
 * What the processes that run jobs have told of the results that are listed, so that an
 * entry need not ask the store for results that are not there yet.
 */
@FunctionalInterface
public interface PublishedResultsView {

	/**
	 * Returns what is told of a job.
	 * @param jobId the job
	 * @return the listing, which has no segment beyond those told that any entry can have
	 * shown to a caller a second ago; empty if that is not sure, and the store has to be
	 * asked
	 */
	Optional<PublishedResults> authoritative(String jobId);

}
