/**
 * The TLS identity of a process on its links: certificates that are loaded from files and
 * reloaded when the files change.
 */
package org.ragworthook.wire.tls;
