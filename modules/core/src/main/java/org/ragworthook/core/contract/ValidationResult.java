package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What came of reading a text.
 *
 * @param contract the contract, if the text may be accepted
 * @param problems everything found, by place
 */
public record ValidationResult(Optional<Contract> contract, List<Problem> problems) {

	/**
	 * Copies the problems.
	 */
	public ValidationResult {
		Objects.requireNonNull(contract, "contract is null");
		problems = List.copyOf(Objects.requireNonNull(problems, "problems is null"));
	}

	/**
	 * Tells whether the text may be accepted.
	 * @return whether there is no error; there may be warnings
	 */
	public boolean isAcceptable() {
		return this.contract.isPresent();
	}

	/**
	 * Returns what keeps the text from being accepted.
	 * @return the errors by place
	 */
	public List<Problem> errors() {
		return this.problems.stream().filter(Problem::isError).toList();
	}

	/**
	 * Returns what the operator should know though the text may be accepted.
	 * @return the warnings by place
	 */
	public List<Problem> warnings() {
		return this.problems.stream().filter((problem) -> !problem.isError()).toList();
	}

}
