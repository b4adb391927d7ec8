package org.ragworthook.core.job;

import java.util.concurrent.CompletionException;

/**
 * Finds the error behind a failed future.
 */
final class Failures {

	private Failures() {
	}

	static Throwable root(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		return cause;
	}

}
