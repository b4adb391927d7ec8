/**
 * Tests of batch jobs.
 */
package org.ragworthook.core.job;
