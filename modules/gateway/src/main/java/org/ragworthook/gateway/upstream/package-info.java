/**
 * The upstreams that can be used, what is known of their load, and the choice of one for
 * a request.
 */
package org.ragworthook.gateway.upstream;
