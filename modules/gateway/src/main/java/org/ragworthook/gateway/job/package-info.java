/**
 * Batch jobs: accepted once the platform's store has them, run by the process that owns
 * them, results listed at positions that never change.
 */
package org.ragworthook.gateway.job;
