package org.ragworthook.standin.control;

import java.util.List;

/**
 * Measures the control parts and prints Markdown tables.
 */
public final class ControlBench {

	private static final List<Runnable> PARTS = List.of(new TextBench(), new PlanBench(), new MoveBench());

	private ControlBench() {
	}

	/**
	 * Runs the benchmark.
	 * @param args none
	 */
	public static void main(String[] args) {
		PARTS.forEach(Runnable::run);
	}

}
