package org.ragworthook.gateway.job;

/**
 * What a process reports of the published results of a job. Peers receive it as a
 * {@code JobListing}.
 *
 * @param jobId the job's id
 * @param itemCount the number of items of the job
 * @param maxSegments the number of segments that the process knows of, including one that
 * it is writing
 * @param authoritative whether no other process can have published more; otherwise others
 * may have
 */
public record PublishedResults(String jobId, int itemCount, int maxSegments, boolean authoritative) {
}
