/**
 * Keeps the fleet to the text: works out which models are missing, badly spread or
 * outdated, and in which order and at which pace to mend it. Pure; the daemon observes
 * and gives the orders.
 */
package org.ragworthook.core.reconcile;
