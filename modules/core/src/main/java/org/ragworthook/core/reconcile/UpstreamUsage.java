package org.ragworthook.core.reconcile;

/**
 * The usage of an upstream by online requests, as last reported by its sidecar. Batch
 * requests are not counted: they fill all remaining capacity, so the demand would always
 * grow.
 *
 * @param busy the number of online requests running or waiting
 * @param limit the number of requests that the upstream runs concurrently without
 * queueing
 */
public record UpstreamUsage(int busy, int limit) {
}
