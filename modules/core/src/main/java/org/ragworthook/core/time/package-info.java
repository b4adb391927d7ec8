/**
 * Time as it is handed to the parts: a monotonic ticker and timers. No part reads a clock
 * of its own, so that tests decide what time it is.
 */
package org.ragworthook.core.time;
