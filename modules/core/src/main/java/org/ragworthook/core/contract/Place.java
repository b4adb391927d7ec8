package org.ragworthook.core.contract;

/**
 * A place in a text.
 *
 * @param line from 1
 * @param column from 1
 */
record Place(int line, int column) {

	static final Place START = new Place(1, 1);

}
