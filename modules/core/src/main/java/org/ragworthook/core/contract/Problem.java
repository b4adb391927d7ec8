package org.ragworthook.core.contract;

import java.util.Objects;

/**
 * Something found in a text.
 *
 * @param severity whether it keeps the text from being accepted
 * @param line its line, from 1
 * @param column its column, from 1
 * @param message what is wrong
 * @param remedy what to do about it
 */
public record Problem(Severity severity, int line, int column, String message, String remedy) {

	/**
	 * Checks that all parts are there.
	 */
	public Problem {
		Objects.requireNonNull(severity, "severity is null");
		Objects.requireNonNull(message, "message is null");
		Objects.requireNonNull(remedy, "remedy is null");
	}

	/**
	 * Tells whether the text cannot be accepted because of this.
	 * @return whether it is an error
	 */
	public boolean isError() {
		return this.severity == Severity.ERROR;
	}

	@Override
	public String toString() {
		return this.line + ":" + this.column + " " + this.message + "; " + this.remedy;
	}

	/**
	 * How bad a problem is.
	 */
	public enum Severity {

		/** The text is refused. */
		ERROR,

		/** The text is accepted, and the operator is told. */
		WARNING

	}

}
