package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;

import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Service;
import org.ragworthook.wire.message.Run;

/**
 * An online request that has been checked against the contract.
 *
 * @param account the account that sent the request
 * @param service the service that the request is for
 * @param run the request as sent to a sidecar, without the fields of an attempt
 * @param timeout the time within which the caller expects the whole answer
 * @param model the requested model, or the empty string for a plain service
 * @param resumable whether another upstream can continue a partial answer
 * @param prefix the key of the prompt's prefix, or empty if the prompt has no key
 */
public record OnlineRequest(Account account, Service service, Run run, Duration timeout, String model,
		boolean resumable, OptionalLong prefix) {

	/**
	 * Checks that no component is null.
	 */
	public OnlineRequest {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(run, "run is null");
		Objects.requireNonNull(timeout, "timeout is null");
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(prefix, "prefix is null");
	}

	/**
	 * Returns whether the idempotency key must be claimed before the request is passed
	 * on.
	 * @return whether the request has an idempotency key and may not be repeated
	 */
	boolean needsClaim() {
		return !this.run.getRepeatable() && !this.run.getIdempotencyKey().isEmpty();
	}

}
