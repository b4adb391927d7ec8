package org.ragworthook.gateway.http;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.ragworthook.core.response.JoinedHeads;

/**
 * Decides from the head of a response to which request the response belongs.
 */
final class ResponseHeads {

	private static final Set<HttpVersion> VERSIONS = Set.of(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1);

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

	/**
	 * Returns whether a head may be made of two: a response was cut off within its head,
	 * and the next response, which has a status line and headers of its own, completes
	 * it. Such a head can state the id of one request under the status of another one.
	 * @param head the head of a response
	 * @return whether the head has two versions, a second status line, or two values of a
	 * header that has one
	 */
	boolean joined(HttpResponse head) {
		return !VERSIONS.contains(head.protocolVersion())
				|| JoinedHeads.joined(head.status().reasonPhrase(), head.headers()) || statedIds(head).size() > 1
				|| Set.copyOf(head.headers().getAll(HttpHeaderNames.CONTENT_TYPE)).size() > 1;
	}

	/**
	 * Returns whether trailers may be the head of the next response, behind a response in
	 * chunks that was cut off within its last chunk.
	 * @param trailers the headers behind the last chunk
	 * @return whether they state a request id
	 */
	boolean stateId(HttpHeaders trailers) {
		return trailers.contains(this.requestIdHeader);
	}

}
