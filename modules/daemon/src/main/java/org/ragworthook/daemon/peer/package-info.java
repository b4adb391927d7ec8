/**
 * Links between entries: calls with answers, frames to all, and who is there.
 */
package org.ragworthook.daemon.peer;
