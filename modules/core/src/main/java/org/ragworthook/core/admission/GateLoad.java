package org.ragworthook.core.admission;

/**
 * Numbers of running and waiting requests of one engine.
 *
 * @param onlineRunning the number of online requests at the engine
 * @param batchRunning the number of batch requests at the engine
 * @param onlineQueued the number of online requests waiting at the sidecar
 * @param batchQueued the number of batch requests waiting at the sidecar
 * @param limit the number of requests that the engine runs concurrently without queueing;
 * 0 while it is reserved for one exclusive request
 * @param batchRoom the number of further batch requests that the sidecar accepts
 */
public record GateLoad(int onlineRunning, int batchRunning, int onlineQueued, int batchQueued, int limit,
		int batchRoom) {
}
