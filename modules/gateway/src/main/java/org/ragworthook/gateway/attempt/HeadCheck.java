package org.ragworthook.gateway.attempt;

/**
 * Decides whether the response of an attempt can be used, by its head.
 */
@FunctionalInterface
public interface HeadCheck {

	/** The HTTP status of a success. */
	int OK = 200;

	/**
	 * Returns whether a response can be used.
	 * @param status the HTTP status
	 * @param eventStream whether the body is a stream of server-sent events
	 * @return false if the attempt is to fail without a byte of the body being passed on
	 */
	boolean accepts(int status, boolean eventStream);

	/**
	 * Accepts every response.
	 * @return the check
	 */
	static HeadCheck any() {
		return (status, eventStream) -> true;
	}

	/**
	 * Accepts only a stream of events, which alone can continue another one.
	 * @return the check
	 */
	static HeadCheck eventStream() {
		return (status, eventStream) -> status == OK && eventStream;
	}

}
