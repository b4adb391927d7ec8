/**
 * The sidecar: the only way to the upstream beside it.
 */
package org.ragworthook.daemon.sidecar;
