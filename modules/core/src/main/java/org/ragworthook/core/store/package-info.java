/**
 * The platform's object API: versioned objects, conditional writes, listings by label and
 * watches. All state that must be durable or agreed between processes is stored here; all
 * other state of the system is a cache of it or may be lost.
 */
package org.ragworthook.core.store;
