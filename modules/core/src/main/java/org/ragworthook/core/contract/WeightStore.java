package org.ragworthook.core.contract;

/**
 * What the store of model weights bears.
 *
 * @param loadsPerMinute loads that may begin in a minute
 * @param concurrentLoads loads that may go on at once
 */
public record WeightStore(int loadsPerMinute, int concurrentLoads) {

	private static final WeightStore STANDARD = new WeightStore(60, 4);

	/**
	 * Returns what holds if the text says nothing.
	 * @return 60 loads a minute, 4 at once
	 */
	public static WeightStore standard() {
		return STANDARD;
	}

}
