package org.ragworthook.gateway.upstream;

/** The class of a request, which determines its priority for slots. */
public enum WorkClass {

	/** A caller waits for the answer. */
	ONLINE,

	/** An item of a batch job, due later; preempted by online requests. */
	BATCH

}
