package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * One thing that would happen if a text were accepted.
 *
 * @param effect what kind of thing
 * @param subject the service, model or account concerned
 * @param description the change in words
 */
public record ContractChange(Effect effect, String subject, String description) {

	/**
	 * Checks that all parts are there.
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
	 * What a change does to the fleet.
	 */
	public enum Effect {

		/** Upstreams load a model or adapter. */
		LOAD,

		/** Upstreams unload a model or adapter. */
		UNLOAD,

		/** Replicas stand elsewhere. */
		MOVE,

		/** A model's version is replaced, upstream by upstream. */
		ROLL_OUT,

		/** A service comes, goes or answers differently. */
		SERVICE,

		/** An account comes, goes or may use more or less. */
		ACCOUNT,

		/** Somebody may or may no longer change the text. */
		OPERATOR,

		/** Anything else. */
		OTHER

	}

}
