package org.ragworthook.gateway.job;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A batch job as it is stored on the platform.
 *
 * @param id the job's id, see {@link JobIds}
 * @param account the client account that owns the job, or empty if its caller had none
 * @param host the host that the job was submitted to
 * @param path the path that the job was submitted to; host and path together select the
 * route
 * @param acceptedMillis when the job was submitted, Unix milliseconds
 * @param configurationVersion the version of the configuration under which the job was
 * accepted
 * @param itemCount the number of its items
 * @param chunks the number of further objects that hold its items, or 0 if they are in
 * the job's own object
 * @param tokens the tokens of all its items: prompt tokens and the most that may be
 * generated
 * @param ended whether its caller has ended (cancelled) the job
 * @param items its items; empty if they are in further objects, or if the job has ended
 */
public record Job(String id, Optional<String> account, String host, String path, long acceptedMillis,
		long configurationVersion, int itemCount, int chunks, long tokens, boolean ended, List<JobItem> items) {

	/**
	 * Checks the components and copies the items.
	 */
	public Job {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(host, "host is null");
		Objects.requireNonNull(path, "path is null");
		items = List.copyOf(items);
	}

	/**
	 * Returns a copy of the job with its items.
	 * @param all all items of the job
	 * @return the copy
	 */
	public Job withItems(List<JobItem> all) {
		return new Job(this.id, this.account, this.host, this.path, this.acceptedMillis, this.configurationVersion,
				this.itemCount, this.chunks, this.tokens, this.ended, all);
	}

	/**
	 * Returns a copy of the job as it is after its caller has ended it.
	 * @return the copy, without items
	 */
	public Job asEnded() {
		return new Job(this.id, this.account, this.host, this.path, this.acceptedMillis, this.configurationVersion,
				this.itemCount, 0, this.tokens, true, List.of());
	}

}
