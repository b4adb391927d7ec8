package org.ragworthook.standin.capacity;

import java.util.List;

/**
 * The straight line through measured points by least squares.
 *
 * @param intercept the value at size zero
 * @param slope how much the value grows with each of what is counted
 * @param residual the largest distance of a point from the line, as a share of the
 * largest value
 */
record Line(double intercept, double slope, double residual) {

	/**
	 * Fits a line.
	 * @param sizes at least two different sizes
	 * @param values the value at each size
	 * @return the line
	 */
	static Line through(List<Integer> sizes, List<Double> values) {
		double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElseThrow();
		double meanValue = values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
		double together = 0;
		double spread = 0;
		for (int i = 0; i < sizes.size(); i++) {
			together += (sizes.get(i) - meanSize) * (values.get(i) - meanValue);
			spread += Math.pow(sizes.get(i) - meanSize, 2);
		}
		double slope = together / spread;
		double intercept = meanValue - slope * meanSize;
		return new Line(intercept, slope, residual(sizes, values, intercept, slope));
	}

	private static double residual(List<Integer> sizes, List<Double> values, double intercept, double slope) {
		double worst = 0;
		double largest = 0;
		for (int i = 0; i < sizes.size(); i++) {
			worst = Math.max(worst, Math.abs(values.get(i) - intercept - slope * sizes.get(i)));
			largest = Math.max(largest, Math.abs(values.get(i)));
		}
		return (largest > 0) ? worst / largest : 0;
	}

}
