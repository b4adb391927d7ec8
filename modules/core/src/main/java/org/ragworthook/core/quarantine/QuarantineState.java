package org.ragworthook.core.quarantine;

/**
 * What may be done with a request.
 */
public enum QuarantineState {

	/** It may run beside others. */
	CLEAR,

	/** It was at an upstream that crashed: it must run alone. */
	SUSPECT,

	/** It crashes upstreams: it is refused. */
	QUARANTINED

}
