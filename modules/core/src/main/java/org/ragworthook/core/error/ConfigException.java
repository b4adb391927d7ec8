package org.ragworthook.core.error;

/**
 * Thrown when a process's settings or a submitted configuration are invalid or cannot be
 * read.
 */
public final class ConfigException extends RagworthookException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception without a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 */
	public ConfigException(ErrorCode code, String detail) {
		this(code, detail, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the error code
	 * @param detail what happened, including the location or the value concerned
	 * @param cause the underlying error, or {@code null} if there is none
	 */
	public ConfigException(ErrorCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
