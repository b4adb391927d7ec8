/**
 * A gateway that sends online requests and batch jobs directly to upstreams that register
 * themselves. Unlike the daemon, with its entry and sidecars, it runs no process next to
 * an upstream: each process places requests by the load that it and its peers have at the
 * upstreams.
 */
package org.ragworthook.gateway;
