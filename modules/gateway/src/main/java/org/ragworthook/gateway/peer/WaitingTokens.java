package org.ragworthook.gateway.peer;

/**
 * What all processes together know of the items that wait on a route.
 *
 * @param complete whether every process that runs jobs is heard and has read which jobs
 * there are; otherwise there may be more
 * @param tokens tokens of items that no upstream has finished, with those of jobs that
 * entries have accepted a moment ago
 */
public record WaitingTokens(boolean complete, long tokens) {
}
