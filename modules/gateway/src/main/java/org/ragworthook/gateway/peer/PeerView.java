package org.ragworthook.gateway.peer;

/**
 * How many of the other processes are heard.
 *
 * @param known processes that the platform knows or that have reported before
 * @param heard those of them that are heard now
 * @param reachingStore those that are heard and reach the store
 */
public record PeerView(int known, int heard, int reachingStore) {
}
