package org.ragworthook.core.admission;

import java.util.List;

/**
 * Decides which requests are at the engine. Events go in, actions come out, in the order
 * in which they are to be carried out. A gate is confined to one thread: the sidecar
 * calls it from the event loop that owns its engine.
 */
public interface EngineGate {

	/**
	 * Takes an online request in.
	 * @param offer the request
	 * @return what to do
	 */
	List<GateAction> offerOnline(Offer offer);

	/**
	 * Takes a batch request in.
	 * @param offer the request
	 * @return what to do
	 */
	List<GateAction> offerBatch(Offer offer);

	/**
	 * Learns that the engine has given the first output of a run.
	 * @param run the run
	 */
	void firstOutput(RunKey run);

	/**
	 * Learns that a run is over. A run that the gate does not know is ignored.
	 * @param run the run
	 * @param ending how it ended
	 * @param tokens how many tokens it generated, or zero where there are none
	 * @return what to do
	 */
	List<GateAction> finished(RunKey run, RunOutcome ending, int tokens);

	/**
	 * Learns that a cancelled batch run has left the engine.
	 * @param run the run
	 * @return what to do
	 */
	List<GateAction> preempted(RunKey run);

	/**
	 * Learns that nobody wants a request any longer. A request that still waits leaves
	 * the queue without an action; one that runs stays counted until
	 * {@link #finished(RunKey, RunOutcome, int)}.
	 * @param run the run
	 * @return whether the request was still waiting
	 */
	boolean withdraw(RunKey run);

	/**
	 * Learns, with a lag, how many requests wait in the engine's own queue.
	 * @param waiting the number that the engine's load page gives
	 */
	void engineQueueReported(int waiting);

	/**
	 * Lets go of requests whose deadline has passed and of suspects that have waited long
	 * enough. Called every few hundred milliseconds.
	 * @return what to do
	 */
	List<GateAction> sweep();

	/**
	 * Stops taking requests in. Everything that waits is handed back; batch runs that may
	 * be cancelled are, all others finish.
	 * @return what to do
	 */
	List<GateAction> drain();

	/**
	 * Returns how busy the engine is.
	 * @return the load
	 */
	GateLoad load();

	/**
	 * Tells whether nothing runs and nothing waits.
	 * @return whether the gate is idle
	 */
	default boolean idle() {
		GateLoad load = load();
		return load.onlineRunning() + load.batchRunning() + load.onlineQueued() + load.batchQueued() == 0;
	}

}
