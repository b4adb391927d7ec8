package org.ragworthook.gateway.dialect;

import java.util.List;
import java.util.Optional;

import org.ragworthook.gateway.job.ItemOutcome;
import org.ragworthook.gateway.job.JobItem;

/**
 * The format of requests about batch jobs and of their responses.
 */
public interface JobFormat {

	/**
	 * Parses a request about a job that was submitted before.
	 * @param method the HTTP method
	 * @param uri the path with the query
	 * @return the request, or empty if method and path are not those of such a request
	 */
	Optional<JobRequest> parseRequest(String method, String uri);

	/**
	 * Parses the items of a submitted job.
	 * @param body the body of the request
	 * @return the items
	 * @throws org.ragworthook.core.error.JobException if the body is malformed
	 */
	List<JobItem> parseItems(byte[] body);

	/**
	 * Formats a page of results.
	 * @param total the number of items of the job
	 * @param position the position of the first result, from 0
	 * @param results the results
	 * @return the body of the response
	 */
	byte[] formatResults(int total, int position, List<ItemOutcome> results);

}
