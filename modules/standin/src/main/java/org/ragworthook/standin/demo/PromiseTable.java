package org.ragworthook.standin.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * What was promised and what the figures say.
 */
final class PromiseTable {

	private final List<Row> rows = new ArrayList<>();

	/**
	 * Adds a promise that was put to the test.
	 * @param promise what was promised
	 * @param held whether the figures bear it out
	 * @param figures the figures
	 */
	void add(String promise, boolean held, String figures) {
		this.rows.add(new Row(promise, held ? Verdict.HELD : Verdict.BROKEN, figures));
	}

	/**
	 * Adds a promise that could not be put to the test.
	 * @param promise what was promised
	 * @param reason why it was not tested
	 */
	void notRun(String promise, String reason) {
		this.rows.add(new Row(promise, Verdict.NOT_RUN, reason));
	}

	/**
	 * Returns whether every promise was tested and held.
	 * @return whether none is broken and none was left out
	 */
	boolean allHeld() {
		return count(Verdict.HELD) == this.rows.size();
	}

	private long count(Verdict verdict) {
		return this.rows.stream().filter((row) -> row.verdict() == verdict).count();
	}

	/**
	 * Returns the table, closed by the sum.
	 * @return lines of text
	 */
	String text() {
		StringBuilder text = new StringBuilder();
		this.rows.forEach((row) -> text
			.append(String.format("%-8s %-62s %s%n", row.verdict().label(), row.promise(), row.figures())));
		long notRun = count(Verdict.NOT_RUN);
		text.append("promises: ").append(count(Verdict.HELD)).append(" held, ").append(count(Verdict.BROKEN));
		text.append(" broken").append((notRun > 0) ? ", " + notRun + " not run" : "");
		return text.toString();
	}

	private enum Verdict {

		HELD("held"), BROKEN("BROKEN"), NOT_RUN("not run");

		private final String label;

		Verdict(String label) {
			this.label = label;
		}

		String label() {
			return this.label;
		}

	}

	private record Row(String promise, Verdict verdict, String figures) {

		private Row {
			Objects.requireNonNull(promise, "promise is null");
			Objects.requireNonNull(figures, "figures is null");
		}

	}

}
