package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * One consequence of replacing the active contract by another.
 *
 * @param effect the kind of consequence
 * @param subject the name of the service, model, adapter, account, operator or setting
 * that changes
 * @param description a human-readable description of the change
 */
public record ContractChange(Effect effect, String subject, String description) {

	/**
	 * Checks that no component is null.
	 */
	public ContractChange {
		Objects.requireNonNull(effect, "effect is null");
		Objects.requireNonNull(subject, "subject is null");
		Objects.requireNonNull(description, "description is null");
	}

	@Override
	public String toString() {
		return this.description;
	}

	/**
	 * The effect of a change on the fleet.
	 */
	public enum Effect {

		/** Upstreams load a model or adapter. */
		LOAD,

		/** Upstreams unload a model or adapter. */
		UNLOAD,

		/** Replicas move to other failure domains or their bounds change. */
		MOVE,

		/** The version of a model is replaced on one upstream after the other. */
		ROLL_OUT,

		/** A service is added, removed or reconfigured. */
		SERVICE,

		/** An account is added, removed or reconfigured. */
		ACCOUNT,

		/** An operator is added or removed, or its keys change. */
		OPERATOR,

		/** Any other setting changes. */
		OTHER

	}

}
