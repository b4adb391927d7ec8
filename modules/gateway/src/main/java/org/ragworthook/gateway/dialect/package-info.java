/**
 * What an adapter provides: the names of headers and the formats of calls, which differ
 * from platform to platform and decide nothing.
 */
package org.ragworthook.gateway.dialect;
