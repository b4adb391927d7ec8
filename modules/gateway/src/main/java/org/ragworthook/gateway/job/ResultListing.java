package org.ragworthook.gateway.job;

/**
 * What the process that runs a job tells of the listing of its results.
 *
 * @param jobId the job
 * @param items how many items it has
 * @param segmentsAtMost how many segments the teller knows of, one that it is writing
 * included
 * @param all whether nobody else can have listed more; otherwise others may have
 */
public record ResultListing(String jobId, int items, int segmentsAtMost, boolean all) {
}
