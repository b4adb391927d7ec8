/**
 * Who a process is on its links: certificates read from files and read again when they
 * change.
 */
package org.ragworthook.wire.tls;
