package org.ragworthook.core.admission;

/**
 * How busy an engine is, as its gate knows it.
 *
 * @param onlineRunning online requests at the engine
 * @param batchRunning batch requests at the engine
 * @param onlineQueued online requests that wait at the sidecar
 * @param batchQueued batch requests that wait at the sidecar
 * @param limit how many requests the engine runs at once without a queue of its own; 0
 * while it is kept for one request alone
 * @param batchRoom how many further batch requests the sidecar would hold
 */
public record GateLoad(int onlineRunning, int batchRunning, int onlineQueued, int batchQueued, int limit,
		int batchRoom) {
}
