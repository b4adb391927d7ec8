/**
 * Load reports, which the processes of the fleet exchange as datagrams: the requests that
 * each process has at each upstream, and the state of jobs, quotas and leases that other
 * processes need without a call of the store. Also what follows from them: which peers
 * are live, and which process owns a job.
 */
package org.ragworthook.gateway.peer;
