/**
 * Counters, gauges and histograms of a process.
 */
package org.ragworthook.gateway.metrics;
