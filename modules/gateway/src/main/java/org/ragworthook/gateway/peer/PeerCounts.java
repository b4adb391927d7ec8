package org.ragworthook.gateway.peer;

/**
 * The number of other processes by what is known of them.
 *
 * @param known processes that the platform lists or that have reported before
 * @param live those of them whose reports arrive
 * @param reachingStore those that are live and reach the store
 */
public record PeerCounts(int known, int live, int reachingStore) {
}
