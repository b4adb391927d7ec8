package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the problems of a contract, so that the operator sees all of them at once.
 */
final class ProblemCollector {

	private final List<Problem> problems = new ArrayList<>();

	void error(SourcePosition position, String message, String remedy) {
		this.problems.add(new Problem(Problem.Severity.ERROR, position.line(), position.column(), message, remedy));
	}

	void warning(SourcePosition position, String message, String remedy) {
		this.problems.add(new Problem(Problem.Severity.WARNING, position.line(), position.column(), message, remedy));
	}

	List<Problem> sorted() {
		return this.problems.stream()
			.sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
			.toList();
	}

}
