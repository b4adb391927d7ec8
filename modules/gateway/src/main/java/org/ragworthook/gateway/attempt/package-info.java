/**
 * A single attempt to send a request, online or of a batch job, to one upstream.
 */
package org.ragworthook.gateway.attempt;
