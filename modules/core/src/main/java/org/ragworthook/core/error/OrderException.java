package org.ragworthook.core.error;

/**
 * Thrown when an order to an upstream is rejected or fails.
 */
public final class OrderException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception without a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 */
	public OrderException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 * @param cause the underlying error, or {@code null} if there is none
	 */
	public OrderException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
