package org.ragworthook.gateway.account;

import java.util.Objects;
import java.util.Optional;

/**
 * The outcome of authenticating a caller by its API key.
 *
 * @param verdict whether the caller is admitted
 * @param account the account that holds the caller's key, present if and only if access
 * is granted
 */
public record AccessDecision(Verdict verdict, Optional<ClientAccount> account) {

	/** Checks the components. */
	public AccessDecision {
		Objects.requireNonNull(verdict, "verdict is null");
		Objects.requireNonNull(account, "account is null");
	}

	static AccessDecision granted(ClientAccount account) {
		/** Exactly one account holds the key. */
		return new AccessDecision(Verdict.GRANTED, Optional.of(account));
	}

	static AccessDecision denied() {
		/** No account holds the key, or the request does not carry exactly one key. */
		return new AccessDecision(Verdict.DENIED, Optional.empty());
	}

	static AccessDecision unconfirmed() {
		/** The configuration was not confirmed recently enough to decide. */
		return new AccessDecision(Verdict.UNCONFIRMED, Optional.empty());
	}

	/** Whether a caller is admitted. */
	public enum Verdict {

		/** An account holds the key. */
		GRANTED,

		/** No account holds the key, or there is not exactly one key. */
		DENIED,

		/** The keys that are known cannot be relied on. */
		UNCONFIRMED

	}

}
