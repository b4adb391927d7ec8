package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Finds the account of a caller by its key. A key counts as unknown only if the
 * configuration was confirmed a moment ago, since it may have been added since. Used on
 * the event loop.
 */
public final class AccessControl {

	private final Supplier<Accounts> accounts;

	private final Optional<ConfigurationLease> lease;

	private AccessControl(Supplier<Accounts> accounts, Optional<ConfigurationLease> lease) {
		this.accounts = Objects.requireNonNull(accounts, "accounts is null");
		this.lease = Objects.requireNonNull(lease, "lease is null");
	}

	/**
	 * Returns the control of callers.
	 * @param accounts gives the accounts of the configuration in force
	 * @param lease the right to rely on them, or empty if they may always be relied on
	 * @return the control
	 */
	public static AccessControl of(Supplier<Accounts> accounts, Optional<ConfigurationLease> lease) {
		return new AccessControl(accounts, lease);
	}

	/**
	 * Tells whether callers have to show a key.
	 * @return whether they do
	 */
	public boolean keyRequired() {
		return this.accounts.get().keyRequired();
	}

	/**
	 * Tells whether no caller can be let in for now.
	 * @return whether keys are required and cannot be relied on
	 */
	public boolean unavailable() {
		return keyRequired() && this.lease.filter(ConfigurationLease::unavailable).isPresent();
	}

	/**
	 * Returns how long ago the keys were confirmed.
	 * @return the age, or empty if they never were or need not be
	 */
	public Optional<Duration> confirmationAge() {
		return this.lease.flatMap(ConfigurationLease::confirmationAge);
	}

	/**
	 * Finds out who calls.
	 * @param keys the keys that the caller shows
	 * @param outcome takes the access, at once or after a check
	 */
	public void authenticate(List<String> keys, Consumer<AccessDecision> outcome) {
		if (this.lease.isEmpty()) {
			outcome.accept(access(keys));
			return;
		}
		ConfigurationLease held = this.lease.get();
		Duration maxAge = (access(keys).verdict() == AccessDecision.Verdict.GRANTED) ? held.validity()
				: held.maxDenialAge();
		held.awaitConfirmation(maxAge,
				(confirmed) -> outcome.accept(confirmed ? access(keys) : AccessDecision.unconfirmed()));
	}

	private AccessDecision access(List<String> keys) {
		Optional<ClientAccount> holder = (keys.size() == 1) ? this.accounts.get().byKey(keys.get(0)) : Optional.empty();
		return holder.map(AccessDecision::granted).orElseGet(AccessDecision::denied);
	}

}
