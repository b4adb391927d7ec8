package org.ragworthook.core.contract;

/**
 * The rate and concurrency limits of an account. Zero means unlimited.
 *
 * @param requestsPerSecond online requests per second
 * @param inFlight concurrent requests, running or waiting
 * @param tokensPerSecond generated tokens per second
 */
public record Limits(int requestsPerSecond, int inFlight, int tokensPerSecond) {

	private static final Limits NONE = new Limits(0, 0, 0);

	/**
	 * Returns limits that do not restrict anything.
	 * @return unlimited limits
	 */
	public static Limits none() {
		return NONE;
	}

}
