package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Gathers what is found in a text, so that the operator sees all of it at once.
 */
final class Problems {

	private final List<Problem> found = new ArrayList<>();

	void error(Place place, String message, String remedy) {
		this.found.add(new Problem(Problem.Severity.ERROR, place.line(), place.column(), message, remedy));
	}

	void warning(Place place, String message, String remedy) {
		this.found.add(new Problem(Problem.Severity.WARNING, place.line(), place.column(), message, remedy));
	}

	List<Problem> inOrder() {
		return this.found.stream()
			.sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
			.toList();
	}

}
