/**
 * The daemon: starts an entry or a sidecar from its settings.
 */
package org.ragworthook.daemon;
