package org.ragworthook.core.job;

import java.util.Objects;
import java.util.Optional;

/**
 * One attempt at an item, as it is sent to a sidecar.
 *
 * @param id the identifier of the item
 * @param item the item
 * @param account the account that owns the job
 * @param shard the shard of the job
 * @param epoch the epoch of the shard's lease, used as a fencing token
 * @param attempt the number of this attempt at the current owner, from 1
 * @param isolated whether the item must run alone on its upstream, because it is
 * suspected of having crashed one
 * @param resume the point to resume generation from, or empty to start from the beginning
 */
public record ItemRequest(ItemId id, BatchItem item, String account, int shard, long epoch, int attempt,
		boolean isolated, Optional<ResumePoint> resume) {

	/**
	 * Checks that no component is null.
	 */
	public ItemRequest {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(item, "item is null");
		Objects.requireNonNull(account, "account is null");
		Objects.requireNonNull(resume, "resume is null");
	}

}
