package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;

import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Service;
import org.ragworthook.wire.message.Run;

/**
 * An online request that has been checked.
 *
 * @param account who sent it
 * @param service what is to answer it
 * @param run the request as it goes to a sidecar, without attempt
 * @param timeout how long the caller waits for the whole answer
 * @param model the model that it names, or the empty text for a plain service
 * @param resumable whether an upstream can go on after part of the answer
 * @param prefix the key of the prompt's beginning, if it has one
 */
public record OnlineRequest(Account account, Service service, Run run, Duration timeout, String model,
		boolean resumable, OptionalLong prefix) {

	/**
	 * Checks that all parts are there.
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
	 * Tells whether the request must be recorded before it is passed on.
	 * @return whether it bears an idempotency key and may not be repeated
	 */
	boolean needsClaim() {
		return !this.run.getRepeatable() && !this.run.getIdempotencyKey().isEmpty();
	}

}
