package org.ragworthook.core.contract;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The result of validating a contract.
 *
 * @param contract the contract, or empty if there is an error
 * @param problems all errors and warnings, ordered by position
 */
public record ValidationResult(Optional<Contract> contract, List<Problem> problems) {

	/**
	 * Checks that no component is null and copies the problems.
	 */
	public ValidationResult {
		Objects.requireNonNull(contract, "contract is null");
		problems = List.copyOf(Objects.requireNonNull(problems, "problems is null"));
	}

	/**
	 * Returns whether the contract may be accepted.
	 * @return whether there are no errors; there may be warnings
	 */
	public boolean isAcceptable() {
		return this.contract.isPresent();
	}

	/**
	 * Returns the errors, because of which the contract is rejected.
	 * @return the errors, ordered by position
	 */
	public List<Problem> errors() {
		return this.problems.stream().filter(Problem::isError).toList();
	}

	/**
	 * Returns the warnings, which do not prevent acceptance.
	 * @return the warnings, ordered by position
	 */
	public List<Problem> warnings() {
		return this.problems.stream().filter((problem) -> !problem.isError()).toList();
	}

}
