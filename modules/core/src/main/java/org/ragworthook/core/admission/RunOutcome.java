package org.ragworthook.core.admission;

/**
 * How a run at the engine ended, as far as the gate learns from it.
 */
public enum RunOutcome {

	/** The engine answered. */
	ANSWERED,

	/** The engine refused the request because it has too much to do. */
	OVERLOADED,

	/** The engine was lost, or broke off its answer. */
	FAILED,

	/** The run was cancelled because its caller no longer wants it. */
	CANCELLED

}
