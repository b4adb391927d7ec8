package org.ragworthook.standin.capacity;

import java.util.Objects;

/**
 * One measured figure.
 *
 * @param name what was measured, with its unit
 * @param value the figure
 */
record Quantity(String name, double value) {

	/**
	 * Checks the name.
	 */
	Quantity {
		Objects.requireNonNull(name, "name is null");
	}

}
