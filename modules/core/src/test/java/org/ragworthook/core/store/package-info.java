/**
 * Tests of the store package, and an object store with injected faults for other tests.
 */
package org.ragworthook.core.store;
