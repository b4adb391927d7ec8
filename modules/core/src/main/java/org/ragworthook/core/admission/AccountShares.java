package org.ragworthook.core.admission;

/**
 * The slots that client accounts use over all processes, as far as known.
 */
@FunctionalInterface
public interface AccountShares {

	/** The tag that stands for all requests without an account together. */
	int NO_ACCOUNT = 0;

	/**
	 * Returns the slots that an account uses.
	 * @param account the account's tag, or {@link #NO_ACCOUNT}
	 * @return the number of its requests in progress; 0 if none is known
	 */
	double slotsInUse(int account);

	/**
	 * Returns shares under which no account uses any slot.
	 * @return the shares
	 */
	static AccountShares none() {
		return (account) -> 0;
	}

}
