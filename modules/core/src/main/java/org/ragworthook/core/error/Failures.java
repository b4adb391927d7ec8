package org.ragworthook.core.error;

import java.util.concurrent.CompletionException;

/**
 * Unwraps the exceptions of failed futures.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Returns the original cause of a failed future, without the
	 * {@link CompletionException}s that dependent stages wrap around it.
	 * @param failure the exception that a stage was completed with
	 * @return the innermost exception that is not a wrapper
	 */
	public static Throwable root(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		return cause;
	}

}
