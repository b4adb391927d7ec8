/**
 * Selects the upstream for a request. Selection reads an immutable route table and atomic
 * counters only, so requests never block each other, and examines a bounded number of
 * upstreams, so its cost does not grow with their number.
 */
package org.ragworthook.core.routing;
