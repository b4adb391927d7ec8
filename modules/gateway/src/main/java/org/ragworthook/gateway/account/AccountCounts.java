package org.ragworthook.gateway.account;

/**
 * Requests and items of one client account.
 *
 * @param online requests that were sent to an upstream and have not ended
 * @param batch batch items that were sent to an upstream and have not ended
 * @param waiting requests and items that wait for a slot
 */
public record AccountCounts(int online, int batch, int waiting) {

	/** No requests or items. */
	public static final AccountCounts NONE = new AccountCounts(0, 0, 0);

	/**
	 * Returns the sum of these counts and others.
	 * @param other the other counts
	 * @return the sum
	 */
	public AccountCounts plus(AccountCounts other) {
		return new AccountCounts(this.online + other.online, this.batch + other.batch, this.waiting + other.waiting);
	}

	/**
	 * Returns these counts less others.
	 * @param other the other counts
	 * @return the difference
	 */
	public AccountCounts minus(AccountCounts other) {
		return new AccountCounts(this.online - other.online, this.batch - other.batch, this.waiting - other.waiting);
	}

	/**
	 * Returns the requests and items in progress and waiting.
	 * @return the sum of all counts
	 */
	public int total() {
		return this.online + this.batch + this.waiting;
	}

}
