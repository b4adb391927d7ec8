package org.ragworthook.core.claim;

import java.util.Objects;

/**
 * The answer to a request that was claimed and has finished, kept for a caller that sends
 * it again.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param body the body
 */
public record ClaimAnswer(int status, String contentType, String body) {

	/**
	 * Checks that all parts are there.
	 */
	public ClaimAnswer {
		Objects.requireNonNull(contentType, "contentType is null");
		Objects.requireNonNull(body, "body is null");
	}

}
