package org.ragworthook.core.reconcile;

import java.util.Objects;

/**
 * One change to one upstream.
 *
 * @param kind what to do
 * @param priority the reason, which determines the order
 * @param upstream the instance id of the upstream's sidecar
 * @param failureDomain the failure domain of the upstream
 * @param model the name of the model
 * @param detail the version of the model, or the name of the adapter
 */
public record Step(Kind kind, Priority priority, String upstream, String failureDomain, String model, String detail) {

	/**
	 * Checks that no component is null.
	 */
	public Step {
		Objects.requireNonNull(kind, "kind is null");
		Objects.requireNonNull(priority, "priority is null");
		Objects.requireNonNull(upstream, "upstream is null");
		Objects.requireNonNull(failureDomain, "failureDomain is null");
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(detail, "detail is null");
	}

	/**
	 * Returns what is loaded or unloaded, in the notation of upstream reports.
	 * @return {@code name@version} of a model, or an adapter's name
	 */
	public String subject() {
		return this.kind.adapter ? this.detail : this.model + "@" + this.detail;
	}

	/**
	 * The kinds of steps.
	 */
	public enum Kind {

		/** Loads a model, replacing another version of it. */
		LOAD_MODEL("load-model", true, false),

		/** Unloads a model. */
		UNLOAD_MODEL("unload-model", false, false),

		/** Loads an adapter. */
		LOAD_ADAPTER("load-adapter", true, true),

		/** Unloads an adapter. */
		UNLOAD_ADAPTER("unload-adapter", false, true);

		private final String verb;

		private final boolean load;

		private final boolean adapter;

		Kind(String verb, boolean load, boolean adapter) {
			this.verb = verb;
			this.load = load;
			this.adapter = adapter;
		}

		/**
		 * Returns the verb of the order to the sidecar.
		 * @return the verb
		 */
		public String verb() {
			return this.verb;
		}

		/**
		 * Returns whether the step reads from the weight store.
		 * @return whether it loads a model or adapter
		 */
		public boolean isLoad() {
			return this.load;
		}

	}

	/**
	 * The reason for a step, the most urgent first.
	 */
	public enum Priority {

		/** The model has fewer replicas than the contract requires. */
		RESTORE,

		/** The replicas are in too few failure domains. */
		SPREAD,

		/** A replica lacks an adapter. */
		ADAPTER,

		/** A replica has a version other than the target. */
		ROLL_OUT,

		/** Demand or balance requires another replica. */
		BALANCE,

		/** An upstream holds a model or adapter that is not needed. */
		TIDY

	}

}
