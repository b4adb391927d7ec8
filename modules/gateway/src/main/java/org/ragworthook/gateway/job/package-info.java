/**
 * Batch jobs: accepted once they are in the platform's store, run by the process that
 * owns them, and their results published at positions that never change.
 */
package org.ragworthook.gateway.job;
