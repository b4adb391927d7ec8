package org.ragworthook.core.store;

/**
 * The kinds of objects that the system stores at the platform. Each kind is a separate
 * collection in the object API.
 */
public enum Kind {

	/** The accepted configuration and its history. */
	CONFIG("configs"),

	/** Leases with their epochs. */
	LEASE("leases"),

	/** Batch jobs, one small object each. */
	JOB("jobs"),

	/** The items of a job, in immutable chunks. */
	CHUNK("chunks"),

	/** The results of a chunk's items. */
	RESULT("results"),

	/** The progress of items that have not ended, one object for each process. */
	PROGRESS("progress"),

	/** Uploaded files: header and number of chunks. */
	FILE("files"),

	/** Claims on idempotency keys, several in one object. */
	CLAIM("claims"),

	/** Requests that are refused because they crashed upstreams. */
	QUARANTINE("quarantines"),

	/** Status reports of processes and reconcilers. */
	STATUS("statuses");

	private final String collection;

	Kind(String collection) {
		this.collection = collection;
	}

	/**
	 * Returns the name of the collection in the object API.
	 * @return the name, a plural in lower case
	 */
	public String collection() {
		return this.collection;
	}

}
