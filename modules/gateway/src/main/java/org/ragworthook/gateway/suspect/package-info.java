/**
 * Detection of poison requests: requests that crash the upstreams that run them are
 * recognised and refused when they are sent again, by their whole content or by a part of
 * their prompts that other requests share.
 */
package org.ragworthook.gateway.suspect;
