/**
 * Follows collections at the platform: a listing, then changes, then a listing again
 * whenever the changes are interrupted.
 */
package org.ragworthook.gateway.feed;
