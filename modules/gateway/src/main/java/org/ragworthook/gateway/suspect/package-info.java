/**
 * Requests that make upstreams crash, recognised when they come again.
 */
package org.ragworthook.gateway.suspect;
