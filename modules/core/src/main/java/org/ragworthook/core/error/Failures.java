package org.ragworthook.core.error;

import java.util.concurrent.CompletionException;

/**
 * Finds the error behind a failed future.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Returns what a future failed with, without the exceptions that futures wrap around
	 * it.
	 * @param failure what a stage of a future was given
	 * @return the error itself
	 */
	public static Throwable root(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		return cause;
	}

}
