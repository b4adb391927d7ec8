package org.ragworthook.core.contract;

/**
 * A position in the source text of a contract.
 *
 * @param line the line, starting at 1
 * @param column the column, starting at 1
 */
record SourcePosition(int line, int column) {

	static final SourcePosition START = new SourcePosition(1, 1);

}
