package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.ragworthook.core.retry.Deadline;
import org.ragworthook.gateway.account.ShareTerms;
import org.ragworthook.gateway.route.Route;
import org.ragworthook.gateway.upstream.PrefixAffinity;
import org.ragworthook.gateway.upstream.PromptSegment;

/**
 * A request of a caller that has been read completely.
 *
 * @param id the request id, which the caller chooses anew for each of its attempts
 * @param method the HTTP method
 * @param uri the path and the query, forwarded unchanged
 * @param headers the headers to forward
 * @param body the body
 * @param route the route that matches the request
 * @param configurationVersion the version of the configuration that the route is from
 * @param deadline the time after which the caller no longer waits for the response
 * @param lastEvent the id of the last event that the caller has, if it resumes a stream
 * @param resumes the id of the request that brought the first event of that stream, if
 * the caller states it
 * @param prompt the parts of the prompt in order; empty if the caller states none
 * @param prefixAffinity the upstreams that are likely to have parts of the prompt cached
 * @param terms the terms on which it competes for slots with requests of other accounts
 * @param firstAttempt whether its caller can retry if the request is refused
 */
record OnlineRequest(String id, String method, String uri, HttpHeaders headers, byte[] body, Route route,
		long configurationVersion, Deadline deadline, Optional<Long> lastEvent, Optional<String> resumes,
		List<PromptSegment> prompt, PrefixAffinity prefixAffinity, ShareTerms terms, boolean firstAttempt) {

	/**
	 * Part of its remaining time after which the caller of a refused request still comes
	 * back.
	 */
	private static final int RETRY_TIME_DIVISOR = 3;

	OnlineRequest {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(method, "method is null");
		Objects.requireNonNull(uri, "uri is null");
		Objects.requireNonNull(headers, "headers is null");
		Objects.requireNonNull(body, "body is null");
		Objects.requireNonNull(route, "route is null");
		Objects.requireNonNull(deadline, "deadline is null");
		Objects.requireNonNull(lastEvent, "lastEvent is null");
		Objects.requireNonNull(resumes, "resumes is null");
		prompt = List.copyOf(prompt);
		Objects.requireNonNull(prefixAffinity, "prefixAffinity is null");
		Objects.requireNonNull(terms, "terms is null");
	}

	/**
	 * Returns the longest time after which the caller can retry if the request is refused
	 * now.
	 * @return the time, or 0 if it must not be refused for its account's share: if there
	 * are no accounts, or its caller has retried already
	 */
	Duration retryWithin() {
		Duration left = this.deadline.remaining().orElse(this.route.timeout());
		return (this.terms.shared() && this.firstAttempt && !left.isNegative()) ? left.dividedBy(RETRY_TIME_DIVISOR)
				: Duration.ZERO;
	}

}
