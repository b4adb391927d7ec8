package org.ragworthook.daemon.engine;

import java.util.Objects;

/**
 * How a call to the upstream ended.
 *
 * @param kind what is known of it
 * @param detail what happened, for logs and error messages
 * @param text generated over all attempts
 * @param tokens generated over all attempts
 */
public record CallEnd(Kind kind, String detail, String text, int tokens) {

	/**
	 * Checks that all parts are there.
	 */
	public CallEnd {
		Objects.requireNonNull(kind, "kind is null");
		Objects.requireNonNull(detail, "detail is null");
		Objects.requireNonNull(text, "text is null");
	}

	/**
	 * What is known of a call that has ended.
	 */
	public enum Kind {

		/** The upstream gave its whole answer, whatever its status. */
		ANSWERED,

		/** No byte of the request was sent to the upstream. */
		NOT_PASSED_ON,

		/** The request was sent, at least in part, and the answer is not whole. */
		BROKEN,

		/** The call was cancelled from this side. */
		CANCELLED

	}

}
