/**
 * What clients of HTTP/1 servers share on the level of their channels.
 */
package org.ragworthook.wire.http;
