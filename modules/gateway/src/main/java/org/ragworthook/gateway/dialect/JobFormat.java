package org.ragworthook.gateway.dialect;

import java.util.List;
import java.util.Optional;

import org.ragworthook.gateway.job.ItemOutcome;
import org.ragworthook.gateway.job.JobItem;

/**
 * The format of the calls about batch jobs.
 */
public interface JobFormat {

	/**
	 * Reads a call.
	 * @param method the HTTP method
	 * @param uri the path with the query
	 * @return the call, or empty if the path is not one of these calls
	 */
	Optional<JobCall> call(String method, String uri);

	/**
	 * Reads the items that are submitted.
	 * @param body the body of the call
	 * @return the items
	 * @throws org.ragworthook.core.error.JobException if the body is malformed
	 */
	List<JobItem> items(byte[] body);

	/**
	 * Writes results.
	 * @param total how many items the job has
	 * @param position the position of the first result
	 * @param results the results
	 * @return the body of the answer
	 */
	byte[] results(int total, int position, List<ItemOutcome> results);

}
