package org.ragworthook.gateway.http;

/**
 * A call that got no complete answer. Whoever made the call turns it into an error with a
 * code, since only the caller knows what the lost answer means.
 */
public final class SendException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final SendFailure failure;

	/**
	 * Creates an error.
	 * @param failure what is known of the call
	 * @param detail which call, and how it ended
	 */
	public SendException(SendFailure failure, String detail) {
		super(detail, null, false, false);
		this.failure = failure;
	}

	/**
	 * Returns what is known of the call.
	 * @return whether it may have taken effect
	 */
	public SendFailure failure() {
		return this.failure;
	}

}
