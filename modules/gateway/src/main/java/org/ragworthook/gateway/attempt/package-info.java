/**
 * One try of a request, online or of a batch job, at one upstream.
 */
package org.ragworthook.gateway.attempt;
