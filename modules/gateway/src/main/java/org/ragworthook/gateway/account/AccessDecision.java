package org.ragworthook.gateway.account;

import java.util.Objects;
import java.util.Optional;

/**
 * Whether a caller is let in.
 *
 * @param verdict whether
 * @param account the account that holds the caller's key, if it is let in
 */
public record AccessDecision(Verdict verdict, Optional<ClientAccount> account) {

	/**
	 * Checks the parts.
	 */
	public AccessDecision {
		Objects.requireNonNull(verdict, "verdict is null");
		Objects.requireNonNull(account, "account is null");
	}

	static AccessDecision granted(ClientAccount account) {
		return new AccessDecision(Verdict.GRANTED, Optional.of(account));
	}

	static AccessDecision denied() {
		return new AccessDecision(Verdict.DENIED, Optional.empty());
	}

	static AccessDecision unconfirmed() {
		return new AccessDecision(Verdict.UNCONFIRMED, Optional.empty());
	}

	/**
	 * Whether a caller is let in.
	 */
	public enum Verdict {

		/** An account holds the key. */
		GRANTED,

		/** No account holds the key, or there is not exactly one key. */
		DENIED,

		/** The keys that are known cannot be relied on. */
		UNCONFIRMED

	}

}
