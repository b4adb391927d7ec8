package org.ragworthook.gateway.job;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A request of a batch job.
 *
 * @param id the item's id, unique in the job
 * @param path the path of the request at the upstream
 * @param headers the headers of the request at the upstream
 * @param body the body of the request, in base64
 * @param tokens prompt tokens plus the most that may be generated
 */
public record JobItem(String id, String path, Map<String, String> headers, String body, int tokens) {

	/**
	 * Checks the components and copies the headers.
	 */
	public JobItem {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(path, "path is null");
		Objects.requireNonNull(body, "body is null");
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns the value of a header.
	 * @param name the name of the header, in any case
	 * @return the value, or empty if the item does not have the header
	 */
	public Optional<String> header(String name) {
		return this.headers.entrySet()
			.stream()
			.filter((header) -> header.getKey().equalsIgnoreCase(name))
			.map(Map.Entry::getValue)
			.findFirst();
	}

}
