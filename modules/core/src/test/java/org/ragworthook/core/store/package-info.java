/**
 * Test support for parts that keep their state at the platform.
 */
package org.ragworthook.core.store;
