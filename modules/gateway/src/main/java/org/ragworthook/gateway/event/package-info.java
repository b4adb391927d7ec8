/**
 * Server-sent events as far as passing them on whole and resuming them needs.
 */
package org.ragworthook.gateway.event;
