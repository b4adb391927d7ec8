package org.ragworthook.core.reconcile;

import java.util.Objects;

/**
 * One small change of one upstream.
 *
 * @param kind what to do
 * @param priority why, and so how soon
 * @param upstream the sidecar's instance
 * @param failureDomain where the upstream stands
 * @param model the model's name
 * @param detail the model's version, or the adapter's name
 */
public record Step(Kind kind, Priority priority, String upstream, String failureDomain, String model, String detail) {

	/**
	 * Checks that all parts are there.
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
	 * Returns what is loaded or unloaded, as upstreams report it.
	 * @return {@code name@version} of a model, or an adapter's name
	 */
	public String subject() {
		return this.kind.adapter ? this.detail : this.model + "@" + this.detail;
	}

	/**
	 * What a step does.
	 */
	public enum Kind {

		/** Loads a model; another version of it is replaced. */
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
		 * Returns the verb of the order.
		 * @return the verb on the link to the sidecar
		 */
		public String verb() {
			return this.verb;
		}

		/**
		 * Tells whether this reads from the weight store.
		 * @return whether something is loaded
		 */
		public boolean isLoad() {
			return this.load;
		}

	}

	/**
	 * Why a step is due; the first is the most urgent.
	 */
	public enum Priority {

		/** Fewer replicas than the text demands. */
		RESTORE,

		/** Replicas stand in too few failure domains. */
		SPREAD,

		/** An adapter is missing on a replica. */
		ADAPTER,

		/** A replica holds another version. */
		ROLL_OUT,

		/** Demand or balance asks for a replica. */
		BALANCE,

		/** Something is loaded that nobody needs. */
		TIDY

	}

}
