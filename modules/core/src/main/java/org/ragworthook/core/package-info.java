/**
 * Coordination parts of a serving system: leases, fencing, routing, admission, jobs,
 * configuration. Nothing below this package performs input or output or reads a clock of
 * its own; time, storage and links are handed in.
 */
package org.ragworthook.core;
