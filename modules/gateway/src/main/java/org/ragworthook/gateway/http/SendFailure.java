package org.ragworthook.gateway.http;

/**
 * How a request failed that got no complete response.
 */
public enum SendFailure {

	/** No byte of the request was sent, so it was not executed. */
	NOT_SENT,

	/** The connection was lost after the request was sent; it may have been executed. */
	BROKEN,

	/**
	 * The request was sent and no complete response was received within the time limit;
	 * it may have been executed.
	 */
	TIMED_OUT,

	/**
	 * The request was sent and malformed or unexpected bytes were received; it may have
	 * been executed.
	 */
	MALFORMED,

	/**
	 * The request was sent and the response cannot be used for it, such as a failure in
	 * place of the rest of a stream; it may have been executed.
	 */
	UNUSABLE,

	/**
	 * The request was sent, and the connection was lost after this process had paused
	 * reading from it or because this process closed it to free memory. An upstream cuts
	 * off a response that stays unread. The request may have been executed.
	 */
	LOCAL_CAUSE;

	/**
	 * Returns whether the failure counts against the upstream.
	 * @return false if its cause is in this process
	 */
	public boolean countsAgainstUpstream() {
		return this != LOCAL_CAUSE;
	}

}
