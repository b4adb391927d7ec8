package org.ragworthook.core.quarantine;

/**
 * How a request is treated with regard to crashes.
 */
public enum QuarantineState {

	/** The request may run concurrently with others. */
	CLEAR,

	/** The request was in flight at an upstream that crashed, and must run alone. */
	SUSPECT,

	/** The request crashes upstreams and is refused. */
	QUARANTINED

}
