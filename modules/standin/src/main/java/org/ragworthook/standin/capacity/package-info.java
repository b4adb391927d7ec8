/**
 * Measures how the parts grow: memory, processor time and store calls at several sizes,
 * and the straight line through them. docs/CAPACITY.md works the target size out from
 * these slopes.
 */
package org.ragworthook.standin.capacity;
