/**
 * Decisions under demand that changes faster than capacity: which requests an entry
 * refuses that cannot keep up, how many slots batch items leave free for the next rise of
 * online demand, and when a process leaves its jobs to others.
 */
package org.ragworthook.gateway.demand;
