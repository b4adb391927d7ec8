package org.ragworthook.core.error;

import java.util.Objects;

/**
 * The root of the system's errors. Its message says what happened and what to do about
 * it.
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
	 * @return the code
	 */
	public ErrorCode code() {
		return this.code;
	}

	/**
	 * Returns what happened, without the code and the remedy.
	 * @return the detail
	 */
	public String detail() {
		return this.detail;
	}

}
