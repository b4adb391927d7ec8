package org.ragworthook.gateway.online;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.ragworthook.core.retry.Deadline;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.upstream.PrefixAffinity;

/**
 * A request that was read whole.
 *
 * @param id the id of this attempt of the caller
 * @param method the HTTP method
 * @param uri path and query, to be passed on unchanged
 * @param headers the headers to pass on
 * @param body the body
 * @param route where it goes
 * @param configurationVersion the version that the route is from
 * @param deadline when its answer is of no use any longer
 * @param lastEvent for a resumed stream: the event after which to go on
 * @param prompt where the parts of its prompt are kept
 */
record OnlineRequest(String id, String method, String uri, HttpHeaders headers, byte[] body, Route route,
		long configurationVersion, Deadline deadline, Optional<Long> lastEvent, PrefixAffinity prompt) {

	OnlineRequest {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(method, "method is null");
		Objects.requireNonNull(uri, "uri is null");
		Objects.requireNonNull(headers, "headers is null");
		Objects.requireNonNull(body, "body is null");
		Objects.requireNonNull(route, "route is null");
		Objects.requireNonNull(deadline, "deadline is null");
		Objects.requireNonNull(lastEvent, "lastEvent is null");
		Objects.requireNonNull(prompt, "prompt is null");
	}

}
