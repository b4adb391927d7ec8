/**
 * Detection of poison requests: requests that crash the upstreams that run them are
 * recognised and refused when they are sent again.
 */
package org.ragworthook.gateway.suspect;
