package org.ragworthook.core.admission;

/**
 * How a run at the engine ended, as reported to its gate.
 */
public enum RunOutcome {

	/** The engine answered the request. */
	ANSWERED,

	/** The engine rejected the request because it is overloaded. */
	OVERLOADED,

	/** The connection to the engine failed, or the engine ended its answer early. */
	FAILED,

	/** The run was cancelled because the caller gave up. */
	CANCELLED

}
