/**
 * Serves online requests and batch jobs straight from upstreams that register themselves.
 * Unlike the entry and the sidecar of the daemon, nothing stands beside an upstream: the
 * processes place requests by what they and their peers have sent.
 */
package org.ragworthook.gateway;
