package org.ragworthook.core.job;

import java.time.Duration;

/**
 * How owners of shards go about their work.
 *
 * @param attempts how many failures of an item end it
 * @param firstPause how long to wait after an item's first failure; doubled by each more
 * @param longestPause the longest wait between two attempts
 * @param checkpoints how many times the results of a chunk are written while it runs
 * @param checkpointEvery how long a result may wait to be written
 * @param progressEvery how long progress may wait to be written to a job's record
 * @param openChunks how many chunks of a shard are in memory at once
 * @param openPerJob how many chunks of one job are in memory at once
 * @param readyItems how many items of a job are kept ready, so that capacity which is
 * idle for seconds only is used at once
 * @param grace how long a planned stop or a cancel waits for running items
 */
public record BatchPolicy(int attempts, Duration firstPause, Duration longestPause, int checkpoints,
		Duration checkpointEvery, Duration progressEvery, int openChunks, int openPerJob, int readyItems,
		Duration grace) {

	private static final BatchPolicy STANDARD = new BatchPolicy(4, Duration.ofSeconds(1), Duration.ofSeconds(30), 4,
			Duration.ofSeconds(10), Duration.ofSeconds(60), 8, 4, 500, Duration.ofSeconds(5));

	/**
	 * Returns the policy that suits most fleets.
	 * @return 4 attempts, 4 checkpoints a chunk, 8 chunks of a shard in memory
	 */
	public static BatchPolicy standard() {
		return STANDARD;
	}

	/**
	 * Returns this policy with another number of chunks in memory.
	 * @param shard the most of a shard
	 * @param job the most of one job
	 * @return the policy
	 */
	public BatchPolicy withOpenChunks(int shard, int job) {
		return new BatchPolicy(this.attempts, this.firstPause, this.longestPause, this.checkpoints,
				this.checkpointEvery, this.progressEvery, shard, job, this.readyItems, this.grace);
	}

	Duration pause(int failures) {
		Duration pause = this.firstPause.multipliedBy(1L << Math.min(failures - 1, 10));
		return (pause.compareTo(this.longestPause) < 0) ? pause : this.longestPause;
	}

}
