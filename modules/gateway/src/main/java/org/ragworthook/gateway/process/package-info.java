/**
 * A process of the gateway: its parts, its start and its stop.
 */
package org.ragworthook.gateway.process;
