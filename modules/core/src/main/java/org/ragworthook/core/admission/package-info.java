/**
 * Decides what may run and in which order: the limit and the priorities in front of one
 * engine, the limits of an account, and the fair queue of an entry. Each part is a plain
 * object that takes events and returns what to do; none of them reads a clock of its own.
 */
package org.ragworthook.core.admission;
