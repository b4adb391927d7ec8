/**
 * Splits streams of server-sent events, as far as forwarding and resuming them requires.
 */
package org.ragworthook.gateway.event;
