package org.ragworthook.gateway.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.log.EventLog;

/**
 * The client accounts of one configuration, indexed by API key. Immutable.
 * <p>
 * A key that is assigned to more than one account identifies none of them. Two accounts
 * whose names have the same tag share one fair share of the slots.
 */
public final class Accounts {

	private static final EventLog LOG = EventLog.of(Accounts.class);

	private static final Accounts NONE = builder().build();

	private final Map<String, ClientAccount> byKey;

	private final Map<Integer, ClientAccount> byTag;

	private Accounts(Builder builder) {
		this.byKey = Map.copyOf(builder.byKey);
		this.byTag = Map.copyOf(builder.byTag);
	}

	/**
	 * Returns an empty set of accounts, with which callers need no key.
	 * @return no accounts
	 */
	public static Accounts none() {
		return NONE;
	}

	/**
	 * Returns a builder without accounts.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns whether callers have to present a key.
	 * @return whether there is any account
	 */
	public boolean keyRequired() {
		return !this.byTag.isEmpty();
	}

	/**
	 * Returns the account that holds a key.
	 * @param key the API key
	 * @return the account, or empty if no account holds the key or several do
	 */
	public Optional<ClientAccount> byKey(String key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Returns the account with a tag.
	 * @param tag the account's {@link ClientAccount#tag() tag}
	 * @return the account, or empty if there is none
	 */
	public Optional<ClientAccount> byTag(int tag) {
		return Optional.ofNullable(this.byTag.get(tag));
	}

	/** Builds a set of accounts. */
	public static final class Builder {

		/** Marks a key that several accounts hold. */
		private static final ClientAccount AMBIGUOUS = new ClientAccount("", Optional.empty(), Quota.UNLIMITED);

		private final Map<String, ClientAccount> byKey = new HashMap<>();

		private final Map<Integer, ClientAccount> byTag = new HashMap<>();

		private Builder() {
		}

		/**
		 * Adds an account.
		 * @param account the account
		 * @param keys its API keys; empty strings are ignored
		 * @return this builder
		 */
		public Builder add(ClientAccount account, Collection<String> keys) {
			Objects.requireNonNull(account, "account is null");
			ClientAccount sameTag = this.byTag.put(account.tag(), account);
			if (sameTag != null && !sameTag.name().equals(account.name())) {
				LOG.warning("account_tag_shared", "account", account.name(), "other", sameTag.name(), "tag",
						Integer.toHexString(account.tag()));
			}
			for (String key : keys) {
				if (!key.isEmpty()) {
					this.byKey.merge(key, account, Builder::ambiguous);
				}
			}
			return this;
		}

		/**
		 * Builds the accounts.
		 * @return the accounts that were added
		 */
		public Accounts build() {
			this.byKey.values().removeIf((account) -> account == AMBIGUOUS);
			return new Accounts(this);
		}

		private static ClientAccount ambiguous(ClientAccount one, ClientAccount other) {
			if (one.equals(other)) {
				return one;
			}
			LOG.warning("key_held_twice", "account", one.name(), "other", other.name());
			return AMBIGUOUS;
		}

	}

}
