/**
 * Batch jobs, each item of which ends exactly once. An upload stores the lines of a file
 * in chunks and then updates the file's record; a job is created by one conditional write
 * of its record; the items of a chunk end in the chunk's result record; and a job ends by
 * one conditional write. All state is kept in the object store, so that an entry that
 * takes over a shard can recover it.
 */
package org.ragworthook.core.job;
