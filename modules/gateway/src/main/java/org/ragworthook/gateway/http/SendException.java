package org.ragworthook.gateway.http;

/**
 * Thrown when a request got no complete response. The caller of the HTTP client
 * translates it to an error with a code, since only the caller knows what a lost response
 * means.
 */
public final class SendException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final SendFailure failure;

	/**
	 * Creates an exception.
	 * @param failure whether the request may have been executed
	 * @param detail the request and how it failed
	 */
	public SendException(SendFailure failure, String detail) {
		super(detail, null, false, false);
		this.failure = failure;
	}

	/**
	 * Returns whether the request may have been executed.
	 * @return how the request failed
	 */
	public SendFailure failure() {
		return this.failure;
	}

}
