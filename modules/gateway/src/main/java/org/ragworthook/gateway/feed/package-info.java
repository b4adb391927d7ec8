/**
 * Follows collections on the platform: a listing, then a watch for changes, and a new
 * listing whenever the watch is interrupted.
 */
package org.ragworthook.gateway.feed;
