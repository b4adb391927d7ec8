/**
 * HTTP/1.1 client connections to upstreams and to the platform's store, with a pool of
 * keep-alive connections. A connection carries one request at a time.
 */
package org.ragworthook.gateway.http;
