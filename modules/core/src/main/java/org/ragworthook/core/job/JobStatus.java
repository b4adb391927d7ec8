package org.ragworthook.core.job;

/**
 * The status of a job.
 */
public enum JobStatus {

	/** The job's items are being run. */
	IN_PROGRESS(false),

	/** The cancellation was acknowledged; running items are being stopped. */
	CANCELLING(false),

	/** Every item has ended. */
	COMPLETED(true),

	/** The job was cancelled; results written before stay readable. */
	CANCELLED(true);

	private final boolean ended;

	JobStatus(boolean ended) {
		this.ended = ended;
	}

	/**
	 * Returns whether the status is final.
	 * @return whether no item of the job can start any more
	 */
	public boolean ended() {
		return this.ended;
	}

}
