package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.Objects;

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
 */
public record OnlineRequest(Account account, Service service, Run run, Duration timeout) {

	/**
	 * Checks that all parts are there.
	 */
	public OnlineRequest {
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(run, "run is null");
		Objects.requireNonNull(timeout, "timeout is null");
	}

}
