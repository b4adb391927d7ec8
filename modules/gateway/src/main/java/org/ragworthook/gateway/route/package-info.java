/**
 * The operator's configuration of routes, services, limits and accounts, and which
 * version of it is active.
 */
package org.ragworthook.gateway.route;
