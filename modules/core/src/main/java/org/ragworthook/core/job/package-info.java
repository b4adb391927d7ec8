/**
 * Batch jobs: accepted means completed exactly once. A file's lines are stored in chunks
 * before its record, a job's record is created by one conditional write, the items of a
 * chunk end in the chunk's result record, and a job ends by one conditional write. All
 * records are kept at the platform; owners of shards hold nothing that could not be read
 * back.
 */
package org.ragworthook.core.job;
