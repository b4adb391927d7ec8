/**
 * Injectable time: a monotonic ticker and timers. Components take these instead of
 * reading a system clock, so that tests control the time.
 */
package org.ragworthook.core.time;
