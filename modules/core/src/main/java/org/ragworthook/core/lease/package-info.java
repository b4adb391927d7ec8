/**
 * Leases on shards of work: which process owns a shard, and under which epoch. Holding a
 * lease is only an assumption that avoids duplicate work; exclusion is enforced by
 * conditional writes and by the epoch, a fencing token that lets receivers reject what an
 * earlier holder still sends.
 */
package org.ragworthook.core.lease;
