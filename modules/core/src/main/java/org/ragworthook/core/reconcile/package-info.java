/**
 * Reconciles the fleet with the contract: determines which models are missing, badly
 * spread or outdated, and in which order and at which rate to correct this. Free of side
 * effects; the daemon observes the upstreams and sends the orders.
 */
package org.ragworthook.core.reconcile;
