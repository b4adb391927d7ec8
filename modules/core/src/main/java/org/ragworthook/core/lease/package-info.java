/**
 * Leases on shards of the work: who is in charge of a shard, and with which epoch. A
 * lease is a belief that saves work; what must not happen twice is decided by conditional
 * writes and by the epoch, which fences whatever an earlier holder still sends.
 */
package org.ragworthook.core.lease;
