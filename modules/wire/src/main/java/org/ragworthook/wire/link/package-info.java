/**
 * Links between processes: TCP connections that carry the frames of one lane each. A link
 * starts with a handshake, is kept alive by pings when nothing else is sent and, if lost,
 * is reopened by the connecting side.
 */
package org.ragworthook.wire.link;
