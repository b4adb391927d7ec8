/**
 * Chooses the upstream of a request. The choice reads an immutable table and atomic
 * counters only, so that no request waits for another one, and looks at a few upstreams
 * only, so that its time does not grow with their number.
 */
package org.ragworthook.core.routing;
