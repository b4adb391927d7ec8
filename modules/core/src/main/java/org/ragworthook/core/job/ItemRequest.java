package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt at an item, as it is sent to a sidecar.
 *
 * @param id which item
 * @param item what to run
 * @param account whose item it is
 * @param shard the shard of its job
 * @param epoch the fencing number of the shard's lease
 * @param attempt the number of this attempt, from 1
 * @param isolated whether it must run with nothing beside it, as a suspect of a crash
 * @param resume from where to go on, or empty to start
 */
public record ItemRequest(ItemId id, BatchItem item, String account, int shard, long epoch, int attempt,
		boolean isolated, Optional<ResumePoint> resume) {

	/**
	 * Checks that all parts are there.
	 */
	public ItemRequest {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(item, "item is null");
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(resume, "resume is null");
	}

}
