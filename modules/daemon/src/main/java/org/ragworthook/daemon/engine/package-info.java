/**
 * Calls of a sidecar to its upstream: requests for generated text, streamed so that they
 * can be resumed elsewhere, and requests passed on as they are.
 */
package org.ragworthook.daemon.engine;
