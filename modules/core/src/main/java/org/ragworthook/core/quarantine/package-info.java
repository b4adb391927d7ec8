/**
 * Detects requests that crash upstreams and quarantines them, without affecting requests
 * that were only in flight at the same time.
 */
package org.ragworthook.core.quarantine;
