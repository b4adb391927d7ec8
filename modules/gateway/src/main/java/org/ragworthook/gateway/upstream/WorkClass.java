package org.ragworthook.gateway.upstream;

/**
 * Who waits for a request.
 */
public enum WorkClass {

	/** A caller waits for the answer. */
	ONLINE,

	/** An item of a batch job, due later. */
	BATCH

}
