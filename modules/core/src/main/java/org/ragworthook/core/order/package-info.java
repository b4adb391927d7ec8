/**
 * Fencing of orders (load and unload commands) to upstreams, so that a deposed leader's
 * orders are rejected.
 */
package org.ragworthook.core.order;
