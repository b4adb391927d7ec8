package org.ragworthook.daemon.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;

/**
 * Records a request that may run only once before it is passed on, so that it is not run
 * again when its caller sends it to another entry.
 */
@FunctionalInterface
interface RequestClaims {

	/**
	 * Claims the idempotency key of a request.
	 * @param request a request with a key that may not be repeated
	 * @return completes when this entry may run the request; fails with a
	 * {@link RequestException} if it may not, or if the record could not be written
	 */
	CompletionStage<Void> claim(OnlineRequest request);

	/**
	 * Returns claims that refuse everything, where there is no store to record them in.
	 * @return claims that are never granted
	 */
	static RequestClaims refusing() {
		return (request) -> CompletableFuture.failedFuture(
				new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD, "the idempotency key could not be recorded"));
	}

}
