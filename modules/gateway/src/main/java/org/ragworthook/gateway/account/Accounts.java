package org.ragworthook.gateway.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.log.EventLog;

/**
 * The client accounts of one configuration and their keys. Immutable.
 * <p>
 * A key that two accounts hold identifies neither of them.
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
	 * Returns the accounts of a configuration that has none: callers need no key.
	 * @return no accounts
	 */
	public static Accounts none() {
		return NONE;
	}

	/**
	 * Begins a collection of accounts.
	 * @return a new builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Tells whether callers have to show a key.
	 * @return whether there is any account
	 */
	public boolean keyRequired() {
		return !this.byTag.isEmpty();
	}

	/**
	 * Finds the account that holds a key.
	 * @param key the key
	 * @return the account, or empty if none holds it
	 */
	public Optional<ClientAccount> byKey(String key) {
		return Optional.ofNullable(this.byKey.get(key));
	}

	/**
	 * Finds an account by the number that processes use for it.
	 * @param tag the number
	 * @return the account, or empty if there is none
	 */
	public Optional<ClientAccount> byTag(int tag) {
		return Optional.ofNullable(this.byTag.get(tag));
	}

	/**
	 * Collects accounts.
	 */
	public static final class Builder {

		/** Stands for the holder of a key that several accounts hold. */
		private static final ClientAccount SHARED = new ClientAccount("", Optional.empty(), Quota.UNLIMITED);

		private final Map<String, ClientAccount> byKey = new HashMap<>();

		private final Map<Integer, ClientAccount> byTag = new HashMap<>();

		private Builder() {
		}

		/**
		 * Adds an account.
		 * @param account the account
		 * @param keys its keys; empty ones are passed over
		 * @return this builder
		 */
		public Builder add(ClientAccount account, Collection<String> keys) {
			Objects.requireNonNull(account, "account is null");
			this.byTag.put(account.tag(), account);
			for (String key : keys) {
				if (!key.isEmpty()) {
					this.byKey.merge(key, account, Builder::shared);
				}
			}
			return this;
		}

		/**
		 * Returns the accounts that were added.
		 * @return the accounts
		 */
		public Accounts build() {
			this.byKey.values().removeIf((account) -> account == SHARED);
			return new Accounts(this);
		}

		private static ClientAccount shared(ClientAccount one, ClientAccount other) {
			if (one.equals(other)) {
				return one;
			}
			LOG.warning("key_held_twice", "account", one.name(), "other", other.name());
			return SHARED;
		}

	}

}
