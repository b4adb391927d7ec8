/**
 * How fast the upstreams of a service run requests, and the timeouts that follow from it.
 */
package org.ragworthook.gateway.observe;
