package org.ragworthook.core.job;

import java.time.Duration;

/**
 * Retry, checkpoint and memory limits of shard owners.
 *
 * @param maxAttempts the number of failed attempts after which an item ends as failed
 * @param initialBackoff the delay after an item's first failure; doubled after each
 * further failure
 * @param maxBackoff the longest delay between two attempts
 * @param checkpointsPerChunk how many times the results of a chunk are written while it
 * runs
 * @param checkpointInterval the longest time for which a result stays unwritten
 * @param progressInterval the longest time for which progress is not written to a job's
 * record
 * @param maxOpenChunks the most chunks of a shard that are in memory at once
 * @param maxOpenChunksPerJob the most chunks of one job that are in memory at once
 * @param readyItemsPerJob how many items of a job are kept ready in memory, so that
 * capacity that is idle for only a few seconds is used at once
 * @param gracePeriod how long a planned stop or a cancellation waits for running items
 */
public record BatchPolicy(int maxAttempts, Duration initialBackoff, Duration maxBackoff, int checkpointsPerChunk,
		Duration checkpointInterval, Duration progressInterval, int maxOpenChunks, int maxOpenChunksPerJob,
		int readyItemsPerJob, Duration gracePeriod) {

	private static final BatchPolicy STANDARD = new BatchPolicy(4, Duration.ofSeconds(1), Duration.ofSeconds(30), 4,
			Duration.ofSeconds(10), Duration.ofSeconds(60), 8, 4, 500, Duration.ofSeconds(5));

	/**
	 * Returns the default policy.
	 * @return 4 attempts an item, 4 checkpoints a chunk, 8 chunks of a shard in memory
	 */
	public static BatchPolicy standard() {
		return STANDARD;
	}

	/**
	 * Returns a copy of this policy with other limits of chunks in memory.
	 * @param shard the most chunks of a shard
	 * @param job the most chunks of one job
	 * @return the policy
	 */
	public BatchPolicy withMaxOpenChunks(int shard, int job) {
		return new BatchPolicy(this.maxAttempts, this.initialBackoff, this.maxBackoff, this.checkpointsPerChunk,
				this.checkpointInterval, this.progressInterval, shard, job, this.readyItemsPerJob, this.gracePeriod);
	}

	Duration backoff(int failures) {
		Duration backoff = this.initialBackoff.multipliedBy(1L << Math.min(failures - 1, 10));
		return (backoff.compareTo(this.maxBackoff) < 0) ? backoff : this.maxBackoff;
	}

}
