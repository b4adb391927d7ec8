package org.ragworthook.core.admission;

import java.util.List;

/**
 * Schedules the requests of one engine: decides which run there, which wait and which are
 * cancelled. Methods take events and return the actions to carry out, in order. Not
 * thread-safe: the sidecar calls a gate only from the event loop that owns its engine.
 */
public interface EngineGate {

	/**
	 * Called when an online request arrives.
	 * @param offer the request
	 * @return what to do
	 */
	List<GateAction> offerOnline(Offer offer);

	/**
	 * Called when a batch request arrives.
	 * @param offer the request
	 * @return what to do
	 */
	List<GateAction> offerBatch(Offer offer);

	/**
	 * Called when the engine has produced the first output of a run.
	 * @param run the run
	 */
	void firstOutput(RunKey run);

	/**
	 * Called when a run has ended. Ignores runs that the gate does not know.
	 * @param run the run
	 * @param outcome how it ended
	 * @param tokens the number of tokens generated, or zero for requests that generate
	 * none
	 * @return what to do
	 */
	List<GateAction> finished(RunKey run, RunOutcome outcome, int tokens);

	/**
	 * Called when a batch run has stopped after {@link GateAction.Cancel}.
	 * @param run the run
	 * @return what to do
	 */
	List<GateAction> preempted(RunKey run);

	/**
	 * Called when the caller has given up on a request. A waiting request is removed from
	 * the queue without an action; a running one stays counted until
	 * {@link #finished(RunKey, RunOutcome, int)}.
	 * @param run the run
	 * @return whether the request was still waiting
	 */
	boolean withdraw(RunKey run);

	/**
	 * Called with the length of the engine's own queue, which the engine reports with a
	 * delay.
	 * @param waiting the number of waiting requests on the engine's load page
	 */
	void engineQueueReported(int waiting);

	/**
	 * Refuses requests whose deadline has passed and starts exclusive requests that have
	 * waited long enough. Called every few hundred milliseconds.
	 * @return what to do
	 */
	List<GateAction> sweep();

	/**
	 * Stops accepting requests. Refuses all waiting requests and cancels preemptible
	 * batch runs; all other runs finish.
	 * @return what to do
	 */
	List<GateAction> drain();

	/**
	 * Returns the numbers of running and waiting requests.
	 * @return the current load
	 */
	GateLoad load();

	/**
	 * Returns whether no request runs or waits.
	 * @return whether the gate is idle
	 */
	default boolean idle() {
		GateLoad load = load();
		return load.onlineRunning() + load.batchRunning() + load.onlineQueued() + load.batchQueued() == 0;
	}

}
