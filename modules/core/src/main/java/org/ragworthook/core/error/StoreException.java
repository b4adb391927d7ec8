package org.ragworthook.core.error;

/**
 * A call to the platform's object API that failed.
 */
public final class StoreException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an error without a cause.
	 * @param code what kind of error this is
	 * @param detail what happened, with the place or the value concerned
	 */
	public StoreException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an error with a cause.
	 * @param code what kind of error this is
	 * @param detail what happened, with the place or the value concerned
	 * @param cause the error that led to this one, or {@code null}
	 */
	public StoreException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
