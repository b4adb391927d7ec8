/**
 * The entry process: accepts the requests of callers and sends them to sidecars. Online
 * requests are admitted, routed, queued and retried here; {@link Sidecar} and
 * {@link UpstreamDirectory} hold the links to the sidecars, which batch work also uses.
 */
package org.ragworthook.daemon.entry;
