package org.ragworthook.core.error;

/**
 * Thrown when an operation on a file or a batch job is rejected or the file or job does
 * not exist.
 */
public final class JobException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception without a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 */
	public JobException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 * @param cause the underlying error, or {@code null} if there is none
	 */
	public JobException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
