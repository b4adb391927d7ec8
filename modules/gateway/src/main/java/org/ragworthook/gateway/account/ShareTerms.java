package org.ragworthook.gateway.account;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.ragworthook.core.admission.AccountShares;

/**
 * The terms on which a request competes for slots with the requests of other accounts.
 *
 * @param account the tag of its client account, or empty if it has none
 * @param weight the weight of its account, at least 1
 * @param priority its priority, 0 being the highest
 * @param shared whether slots are shared among accounts, which is the case if the
 * configuration has any
 */
public record ShareTerms(OptionalInt account, int weight, int priority, boolean shared) {

	/** Accounts have no weight in the operator's configuration, so all weigh the same. */
	private static final int DEFAULT_WEIGHT = 1;

	private static final ShareTerms NONE = new ShareTerms(OptionalInt.empty(), DEFAULT_WEIGHT, 0, false);

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if the weight is less than 1
	 */
	public ShareTerms {
		Objects.requireNonNull(account, "account is null");
		if (weight < 1) {
			throw new IllegalArgumentException("weight is " + weight + ", must be at least 1");
		}
	}

	/**
	 * Returns the terms of requests while there are no accounts.
	 * @return terms under which requests are served without regard to accounts
	 */
	public static ShareTerms none() {
		return NONE;
	}

	/**
	 * Returns the terms of a request. The priority of its account takes precedence over
	 * that of its route. Without any account in the configuration, routes have no
	 * priority either, so that requests are served as they were before priorities.
	 * @param accounts the accounts of the configuration
	 * @param account the account of the request, or empty if it has none
	 * @param routePriority the priority of its route, 0 being the highest
	 * @return the terms
	 */
	public static ShareTerms of(Accounts accounts, Optional<ClientAccount> account, int routePriority) {
		if (!accounts.keyRequired()) {
			return NONE;
		}
		int priority = account.flatMap(ClientAccount::priority).orElse(routePriority);
		return new ShareTerms(account.map((present) -> OptionalInt.of(present.tag())).orElse(OptionalInt.empty()),
				DEFAULT_WEIGHT, Math.max(0, priority), true);
	}

	/**
	 * Returns the number under which the slots of the request are counted.
	 * @return the account's tag, or {@link AccountShares#NO_ACCOUNT}
	 */
	public int tag() {
		return this.account.orElse(AccountShares.NO_ACCOUNT);
	}

}
