package org.ragworthook.gateway.observe;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The median of values that count by different weights, so that one observer with a wrong
 * figure does not move it.
 */
final class WeightedMedian {

	private final List<WeightedValue> values = new ArrayList<>();

	private double sum;

	/**
	 * Adds a value.
	 * @param value the value
	 * @param weight its weight; without effect unless above 0
	 */
	void add(double value, double weight) {
		if (weight > 0) {
			this.values.add(new WeightedValue(value, weight));
			this.sum += weight;
		}
	}

	/**
	 * Returns the median.
	 * @return the least value at which half of the weight is reached, or empty without
	 * values
	 */
	OptionalDouble value() {
		this.values.sort(Comparator.comparingDouble(WeightedValue::value));
		double reached = 0;
		for (WeightedValue candidate : this.values) {
			reached += candidate.weight();
			if (2 * reached >= this.sum) {
				return OptionalDouble.of(candidate.value());
			}
		}
		return OptionalDouble.empty();
	}

	private record WeightedValue(double value, double weight) {
	}

}
