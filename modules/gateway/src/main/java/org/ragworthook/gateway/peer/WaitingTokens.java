package org.ragworthook.gateway.peer;

/**
 * The batch work of an account that waits on a route, summed over all processes.
 *
 * @param complete whether every process that runs jobs is live and has read the list of
 * jobs; otherwise more tokens may wait
 * @param tokens the tokens of items that no upstream has finished, including those of
 * jobs that entries have just accepted
 */
public record WaitingTokens(boolean complete, long tokens) {
}
