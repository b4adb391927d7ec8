package org.ragworthook.gateway.account;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Authenticates callers by API key. Rejects an unknown key only against a recently
 * confirmed configuration, because the key may have been added after the last one. Not
 * thread-safe: used on the event loop.
 */
public final class AccessControl {

	private final Supplier<Accounts> accounts;

	private final Optional<ConfigurationLease> lease;

	private AccessControl(Supplier<Accounts> accounts, Optional<ConfigurationLease> lease) {
		this.accounts = Objects.requireNonNull(accounts, "accounts is null");
		this.lease = Objects.requireNonNull(lease, "lease is null");
	}

	/**
	 * Returns an access control.
	 * @param accounts returns the accounts of the active configuration
	 * @param lease limits how long the accounts may be relied on, or empty if they may
	 * always be
	 * @return a new access control
	 */
	public static AccessControl of(Supplier<Accounts> accounts, Optional<ConfigurationLease> lease) {
		return new AccessControl(accounts, lease);
	}

	/**
	 * Returns whether callers have to present a key.
	 * @return whether the active configuration has any account
	 */
	public boolean keyRequired() {
		return this.accounts.get().keyRequired();
	}

	/**
	 * Returns whether no caller can be authenticated at present.
	 * @return whether keys are required but the configuration is no longer confirmed
	 */
	public boolean unavailable() {
		return keyRequired() && this.lease.filter(ConfigurationLease::unavailable).isPresent();
	}

	/**
	 * Returns how long ago the accounts were last confirmed.
	 * @return the age, or empty if they were never confirmed or need no confirmation
	 */
	public Optional<Duration> confirmationAge() {
		return this.lease.flatMap(ConfigurationLease::confirmationAge);
	}

	/**
	 * Authenticates a caller.
	 * @param keys the keys in the caller's request
	 * @param outcome receives the decision, either immediately or once the configuration
	 * has been confirmed
	 */
	public void authenticate(List<String> keys, Consumer<AccessDecision> outcome) {
		if (this.lease.isEmpty()) {
			outcome.accept(decide(keys));
			return;
		}
		ConfigurationLease activeLease = this.lease.get();
		Duration maxAge = (decide(keys).verdict() == AccessDecision.Verdict.GRANTED) ? activeLease.validity()
				: activeLease.maxDenialAge();
		activeLease.awaitConfirmation(maxAge,
				(confirmed) -> outcome.accept(confirmed ? decide(keys) : AccessDecision.unconfirmed()));
	}

	private AccessDecision decide(List<String> keys) {
		Optional<ClientAccount> holder = (keys.size() == 1) ? this.accounts.get().byKey(keys.get(0)) : Optional.empty();
		return holder.map(AccessDecision::granted).orElseGet(AccessDecision::denied);
	}

}
