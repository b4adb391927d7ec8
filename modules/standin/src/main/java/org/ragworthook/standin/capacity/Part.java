package org.ragworthook.standin.capacity;

import java.util.List;

/**
 * A part of the system that is measured at several sizes.
 */
interface Part {

	/**
	 * Returns the name to ask for this part by.
	 * @return a word in lower case
	 */
	String name();

	/**
	 * Returns what the size counts.
	 * @return a plural
	 */
	String counted();

	/**
	 * Returns the sizes to measure at.
	 * @return at least three sizes, ascending
	 */
	List<Integer> sizes();

	/**
	 * Measures the part at one size.
	 * @param size how many there are of what is counted
	 * @return the figures, the same ones for each size
	 */
	List<Quantity> measure(int size);

}
