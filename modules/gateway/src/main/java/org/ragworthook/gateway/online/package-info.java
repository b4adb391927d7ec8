/**
 * Serves the gateway's callers: reads a request, finds its route, places it at an
 * upstream, forwards the response, and retries or resumes at another upstream where the
 * route allows it. Requests about batch jobs are answered here from the store.
 */
package org.ragworthook.gateway.online;
