/**
 * A process of the gateway: wires its parts together, starts and stops it, and drains it
 * when its instance is retired.
 */
package org.ragworthook.gateway.process;
