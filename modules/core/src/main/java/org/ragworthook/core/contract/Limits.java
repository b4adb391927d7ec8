package org.ragworthook.core.contract;

/**
 * What an account may use at most. A limit of zero means that there is none.
 *
 * @param requestsPerSecond online requests a second
 * @param inFlight requests that run or wait at once
 * @param tokensPerSecond generated tokens a second
 */
public record Limits(int requestsPerSecond, int inFlight, int tokensPerSecond) {

	private static final Limits NONE = new Limits(0, 0, 0);

	/**
	 * Returns limits that hold nothing back.
	 * @return no limits
	 */
	public static Limits none() {
		return NONE;
	}

}
