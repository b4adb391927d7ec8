/**
 * The memory that a process holds for slow readers and slow uploads, and its limit.
 */
package org.ragworthook.gateway.memory;
