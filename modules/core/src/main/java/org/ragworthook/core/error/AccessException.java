package org.ragworthook.core.error;

/**
 * Thrown when a client or an operator fails authentication or lacks permission for a
 * call.
 */
public final class AccessException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception without a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 */
	public AccessException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 * @param cause the underlying error, or {@code null} if there is none
	 */
	public AccessException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
