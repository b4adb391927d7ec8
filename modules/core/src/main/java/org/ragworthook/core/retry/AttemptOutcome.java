package org.ragworthook.core.retry;

/**
 * How one attempt at a request ended, as the entry knows it.
 */
public enum AttemptOutcome {

	/** The upstream answered, whatever its status. */
	ANSWERED(true),

	/** The upstream answered that it is overloaded or unavailable, and nothing else. */
	REJECTED(true),

	/** The sidecar gives its word that the upstream never got any of it. */
	NOT_PASSED_ON(false),

	/** The sidecar has no room; the upstream never got any of it. */
	REFUSED(false),

	/** The sidecar leaves; the upstream never got any of it. */
	RETURNED(false),

	/** Passed on; the upstream was lost before its answer was whole. */
	INCOMPLETE(true),

	/** Passed on; the upstream crashed with it in flight. */
	CRASHED(true),

	/** The link was lost after the request was sent; the sidecar's word is missing. */
	LINK_LOST(true),

	/** Cancelled because its caller no longer wants it. */
	CANCELLED(true);

	private final boolean passedOn;

	AttemptOutcome(boolean passedOn) {
		this.passedOn = passedOn;
	}

	/**
	 * Tells whether the upstream may have got the request.
	 * @return false only if it certainly has not
	 */
	public boolean passedOn() {
		return this.passedOn;
	}

}
