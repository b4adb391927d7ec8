package org.ragworthook.core.reconcile;

/**
 * How much of an upstream its online requests use, as its sidecar last reported. Batch
 * does not count: it fills whatever is left, so it would always ask for more.
 *
 * @param busy online requests that run or wait
 * @param limit requests that the upstream runs at once without queueing
 */
public record UpstreamUsage(int busy, int limit) {
}
