package org.ragworthook.daemon.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.RequestException;

/**
 * Claims the idempotency keys of requests that may run only once. A request is claimed
 * before it is passed on, so that it does not run again when the caller sends it to
 * another entry.
 */
@FunctionalInterface
interface RequestClaims {

	/**
	 * Claims the idempotency key of a request.
	 * @param request a request that has an idempotency key and may not be repeated
	 * @return a stage that completes when this entry may run the request, and fails with
	 * a {@link RequestException} if it may not or the claim could not be written
	 */
	CompletionStage<Void> claim(OnlineRequest request);

	/**
	 * Returns claims that refuse every request, for use while no store is available.
	 * @return claims that are never granted
	 */
	static RequestClaims refusing() {
		return (request) -> CompletableFuture.failedFuture(
				new RequestException(ErrorCode.REQUEST_NOT_RUN_NO_RECORD, "the idempotency key could not be recorded"));
	}

}
