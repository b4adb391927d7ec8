package org.ragworthook.core.error;

import java.util.Objects;

/**
 * The base class of the system's exceptions. The message consists of the error code, the
 * detail and the remedy.
 */
public abstract sealed class RagworthookException extends RuntimeException permits ConfigException, RequestException,
		JobException, StoreException, OrderException, AccessException, LinkException {

	private final ErrorCode code;

	private final String detail;

	RagworthookException(ErrorCode code, String detail, Throwable cause) {
		super(Objects.requireNonNull(code, "code is null").text() + " " + code.name() + ": " + detail + "; "
				+ code.remedy(), cause);
		this.code = code;
		this.detail = Objects.requireNonNull(detail, "detail is null");
	}

	/**
	 * Returns the code of this error.
	 * @return the error code
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns the description of the failure, without the code and the remedy.
	 * @return the detail that was passed to the constructor
	 */
	public String detail() {
		return this.detail;
	}

}
