package org.ragworthook.core.admission;

import java.util.Objects;

/**
 * An action that a gate asks its sidecar to carry out.
 */
public sealed interface GateAction {

	/**
	 * Returns the run to act on.
	 * @return the run
	 */
	RunKey run();

	/**
	 * Send the request to the engine.
	 *
	 * @param run the run to start
	 */
	record Start(RunKey run) implements GateAction {

		/**
		 * Checks that the run is present.
		 */
		public Start {
			Objects.requireNonNull(run, "run is null");
		}

	}

	/**
	 * Stop a batch run: close its stream from the engine, call
	 * {@link EngineGate#preempted} immediately, and return the request to its entry with
	 * the output generated so far.
	 *
	 * @param run the run to cancel
	 */
	record Cancel(RunKey run) implements GateAction {

		/**
		 * Checks that the run is present.
		 */
		public Cancel {
			Objects.requireNonNull(run, "run is null");
		}

	}

	/**
	 * Return a request that was never sent to the engine.
	 *
	 * @param run the run to refuse
	 * @param reason why it was not started
	 */
	record Refuse(RunKey run, Reason reason) implements GateAction {

		/**
		 * Checks that no component is null.
		 */
		public Refuse {
			Objects.requireNonNull(run, "run is null");
			Objects.requireNonNull(reason, "reason is null");
		}

	}

	/**
	 * Why a request was not started.
	 */
	enum Reason {

		/** The sidecar's queue is full. */
		QUEUE_FULL,

		/** The deadline passed while the request was waiting. */
		DEADLINE_PASSED,

		/** The engine is reserved for a request that must run alone. */
		RESERVED_FOR_SUSPECT,

		/** The sidecar is draining. */
		DRAINING

	}

}
