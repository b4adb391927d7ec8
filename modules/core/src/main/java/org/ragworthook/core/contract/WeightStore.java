package org.ragworthook.core.contract;

/**
 * The load limits of the store that upstreams load model weights from.
 *
 * @param loadsPerMinute the maximum number of loads started per minute
 * @param concurrentLoads the maximum number of concurrent loads
 */
public record WeightStore(int loadsPerMinute, int concurrentLoads) {

	private static final WeightStore STANDARD = new WeightStore(60, 4);

	/**
	 * Returns the default limits.
	 * @return 60 loads per minute, 4 concurrent loads
	 */
	public static WeightStore standard() {
		return STANDARD;
	}

}
