package org.ragworthook.core.store;

/**
 * The kinds of object that the system keeps at the platform. Each is a collection of its
 * own in the object API.
 */
public enum Kind {

	/** The accepted configuration and its history. */
	CONFIG("configs"),

	/** Leases with their epochs. */
	LEASE("leases"),

	/** Batch jobs, one small object each. */
	JOB("jobs"),

	/** The items of a job, in chunks that are never changed. */
	CHUNK("chunks"),

	/** The outcomes of a chunk's items. */
	RESULT("results"),

	/** How far items are that have not ended, one object a process. */
	PROGRESS("progress"),

	/** Uploaded files: their header and how many chunks they have. */
	FILE("files"),

	/** Claims on idempotency keys, recorded in groups. */
	CLAIM("claims"),

	/** Requests that crash upstreams. */
	QUARANTINE("quarantines"),

	/** What processes and reconcilers report about themselves. */
	STATUS("statuses");

	private final String collection;

	Kind(String collection) {
		this.collection = collection;
	}

	/**
	 * Returns the name of the collection in the object API.
	 * @return a plural in lower case
	 */
	public String collection() {
		return this.collection;
	}

}
