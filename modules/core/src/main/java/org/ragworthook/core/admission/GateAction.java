package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * What the sidecar has to do next.
 */
public sealed interface GateAction {

	/**
	 * Returns the run that this concerns.
	 * @return the run
	 */
	RunKey run();

	/**
	 * Pass a request on to the engine.
	 *
	 * @param run which request
	 */
	record Start(RunKey run) implements GateAction {

		/**
		 * Checks the run.
		 */
		public Start {
			Objects.requireNonNull(run, "run is null");
		}

	}

	/**
	 * Close the engine's stream of a batch request, report {@link EngineGate#preempted}
	 * at once, and hand the request back with what it has generated so far.
	 *
	 * @param run which request
	 */
	record Cancel(RunKey run) implements GateAction {

		/**
		 * Checks the run.
		 */
		public Cancel {
			Objects.requireNonNull(run, "run is null");
		}

	}

	/**
	 * Hand a request back that was never passed on.
	 *
	 * @param run which request
	 * @param reason why it was not passed on
	 */
	record Refuse(RunKey run, Reason reason) implements GateAction {

		/**
		 * Checks the parts.
		 */
		public Refuse {
			Objects.requireNonNull(run, "run is null");
			Objects.requireNonNull(reason, "reason is null");
		}

	}

	/**
	 * Why a request was not passed on.
	 */
	enum Reason {

		/** The sidecar's queue is full. */
		QUEUE_FULL,

		/** The deadline passed while the request waited. */
		DEADLINE_PASSED,

		/** The engine is taken by a suspect that must run alone. */
		RESERVED_FOR_SUSPECT,

		/** The sidecar is leaving. */
		DRAINING

	}

}
