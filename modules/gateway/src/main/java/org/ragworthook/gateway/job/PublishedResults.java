package org.ragworthook.gateway.job;

/**
 * What the process that runs a job tells of the listing of its results.
 *
 * @param jobId the job
 * @param itemCount how many items it has
 * @param maxSegments how many segments the teller knows of, one that it is writing
 * included
 * @param authoritative whether nobody else can have listed more; otherwise others may
 * have
 */
public record PublishedResults(String jobId, int itemCount, int maxSegments, boolean authoritative) {
}
