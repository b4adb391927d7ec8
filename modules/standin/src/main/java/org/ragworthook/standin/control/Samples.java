package org.ragworthook.standin.control;

import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Times something again and again.
 */
final class Samples {

	private static final int WARM_UP = 20;

	private static final double NANOS_PER_MILLI = 1e6;

	private final double[] millis;

	private Samples(double[] millis) {
		this.millis = millis;
	}

	static Samples of(int count, Supplier<?> task) {
		for (int run = 0; run < WARM_UP; run++) {
			task.get();
		}
		double[] millis = new double[count];
		for (int run = 0; run < count; run++) {
			long start = System.nanoTime();
			task.get();
			millis[run] = (System.nanoTime() - start) / NANOS_PER_MILLI;
		}
		Arrays.sort(millis);
		return new Samples(millis);
	}

	@Override
	public String toString() {
		return String.format("%.2f / %.2f", this.millis[this.millis.length / 2], this.millis[this.millis.length - 1]);
	}

}
