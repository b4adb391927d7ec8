package org.ragworthook.core.claim;

import java.util.Objects;

/**
 * The response to a finished request with a claim, cached for callers that resend the
 * request.
 *
 * @param status the HTTP status code
 * @param contentType the content type
 * @param body the response body
 */
public record ClaimAnswer(int status, String contentType, String body) {

	/**
	 * Checks that no component is null.
	 */
	public ClaimAnswer {
		Objects.requireNonNull(contentType, "contentType is null");
		Objects.requireNonNull(body, "body is null");
	}

}
