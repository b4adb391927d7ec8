package org.ragworthook.gateway.job;

import java.util.Optional;

/**
 * The published results that processes report, so that an entry need not read the store
 * for results that do not exist yet.
 */
@FunctionalInterface
public interface PublishedResultsView {

	/**
	 * Returns the published results of a job if the reports are certain.
	 * @param jobId the job's id
	 * @return the published results, such that no entry has shown a later segment to a
	 * caller more than a second ago; empty if that is uncertain and the store has to be
	 * read
	 */
	Optional<PublishedResults> authoritative(String jobId);

}
