package org.ragworthook.core.error;

/**
 * A link between two processes that failed.
 */
public final class LinkException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an error without a cause.
	 * @param code what kind of error this is
	 * @param detail what happened, with the place or the value concerned
	 */
	public LinkException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an error with a cause.
	 * @param code what kind of error this is
	 * @param detail what happened, with the place or the value concerned
	 * @param cause the error that led to this one, or {@code null}
	 */
	public LinkException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
