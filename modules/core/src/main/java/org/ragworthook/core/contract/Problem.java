package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * An error or warning found while validating a contract.
 *
 * @param severity whether the contract is rejected because of it
 * @param line the line in the text, starting at 1
 * @param column the column in the text, starting at 1
 * @param message a description of the problem
 * @param remedy how to fix it
 */
public record Problem(Severity severity, int line, int column, String message, String remedy) {

	/**
	 * Checks that no component is null.
	 */
	public Problem {
		Objects.requireNonNull(severity, "severity is null");
		Objects.requireNonNull(message, "message is null");
		Objects.requireNonNull(remedy, "remedy is null");
	}

	/**
	 * Returns whether the contract is rejected because of this problem.
	 * @return whether the severity is {@link Severity#ERROR}
	 */
	public boolean isError() {
		return this.severity == Severity.ERROR;
	}

	@Override
	public String toString() {
		return this.line + ":" + this.column + " " + this.message + "; " + this.remedy;
	}

	/**
	 * The severity of a problem.
	 */
	public enum Severity {

		/** The contract is rejected. */
		ERROR,

		/** The contract is accepted, and the warning is shown to the operator. */
		WARNING

	}

}
