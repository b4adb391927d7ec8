package org.ragworthook.gateway.http;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Decides from the head of a response to which request the response belongs.
 */
final class ResponseHeads {

	private final String requestIdHeader;

	/**
	 * Creates the rules for the servers of a pool.
	 * @param requestIdHeader the header that repeats the id of the request
	 */
	ResponseHeads(String requestIdHeader) {
		this.requestIdHeader = requestIdHeader;
	}

	/**
	 * Returns the ids that a response states.
	 * @param head the head of the response
	 * @return the distinct values; a list of several ids is one value
	 */
	Set<String> statedIds(HttpResponse head) {
		return head.headers()
			.getAllAsString(this.requestIdHeader)
			.stream()
			.map(String::trim)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns why a response does not belong to a request.
	 * @param head the head of the response
	 * @param expectedId the id of the request
	 * @param fresh whether the connection has carried no other request or response, so
	 * that the response can be no second one
	 * @return the reason, or empty if the response belongs to the request
	 */
	Optional<SkipReason> skipReason(HttpResponse head, String expectedId, boolean fresh) {
		Set<String> ids = statedIds(head);
		if (ids.isEmpty()) {
			return fresh ? Optional.empty() : Optional.of(SkipReason.NO_ID);
		}
		return ids.equals(Set.of(expectedId.trim())) ? Optional.empty() : Optional.of(SkipReason.OTHER_ID);
	}

}
