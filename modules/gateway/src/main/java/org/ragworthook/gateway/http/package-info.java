/**
 * Connections to upstreams and to the platform over HTTP/1.1, one request at a time.
 */
package org.ragworthook.gateway.http;
