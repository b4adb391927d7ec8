/**
 * The path of an online request: read, routed, placed, passed on, tried again where that
 * does no harm.
 */
package org.ragworthook.gateway.online;
