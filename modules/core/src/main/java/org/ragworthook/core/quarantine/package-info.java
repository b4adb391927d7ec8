/**
 * Finds the requests that crash upstreams, without blaming those that merely ran beside
 * them.
 */
package org.ragworthook.core.quarantine;
