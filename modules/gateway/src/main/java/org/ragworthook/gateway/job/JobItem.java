package org.ragworthook.gateway.job;

import java.util.Map;
import java.util.Objects;

/**
 * A request of a batch job.
 *
 * @param id its id, unique in the job
 * @param path the path at the upstream
 * @param headers the headers for the upstream
 * @param body the body, base64
 * @param tokens tokens of the prompt and the most that may be generated, together
 */
public record JobItem(String id, String path, Map<String, String> headers, String body, int tokens) {

	/**
	 * Copies the headers.
	 */
	public JobItem {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(path, "path is null");
		Objects.requireNonNull(body, "body is null");
		headers = Map.copyOf(headers);
	}

}
