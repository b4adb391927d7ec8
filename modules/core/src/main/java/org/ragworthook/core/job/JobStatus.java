package org.ragworthook.core.job;

/**
 * How far a job has come.
 */
public enum JobStatus {

	/** Its items are being run. */
	IN_PROGRESS(false),

	/** A cancel was acknowledged; running items are being stopped. */
	CANCELLING(false),

	/** Every item has ended. */
	COMPLETED(true),

	/** It was stopped; results that were there stay readable. */
	CANCELLED(true);

	private final boolean ended;

	JobStatus(boolean ended) {
		this.ended = ended;
	}

	/**
	 * Tells whether the status is final.
	 * @return whether no item can start any more
	 */
	public boolean ended() {
		return this.ended;
	}

}
