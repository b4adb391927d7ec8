package org.ragworthook.core.error;

/**
 * Thrown when a call to the platform's object API fails.
 */
public final class StoreException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception without a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 */
	public StoreException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 * @param cause the underlying error, or {@code null} if there is none
	 */
	public StoreException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
