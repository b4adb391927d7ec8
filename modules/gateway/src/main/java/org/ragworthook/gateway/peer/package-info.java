/**
 * What the processes tell each other: the requests that each has at each upstream.
 */
package org.ragworthook.gateway.peer;
